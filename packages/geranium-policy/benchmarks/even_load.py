"""Compares methods to choose engines by stale load information.

Usage: ``python even_load.py [--method NAME ...] [--hosts N ...]``. Prints a
Markdown table. Two kinds of streams alternate every 2.8 s, with 1.7 and 0.55
times their mean rate. The figures come from a model, not from real hosts:
engines prefill one prompt after the other, the time between tokens grows with
the running sequences, and hosts know at once when a cached prefix is evicted.
"""

import itertools
import statistics
from collections.abc import Sequence
from concurrent import futures

import click
from stale_methods import METHODS
from stale_model import FLEETS, Case, Model

COLUMNS = (
    'hosts',
    'fleet',
    'load',
    'age',
    'method',
    'seed',
    'uneven',
    'busiest / mean',
    'wait p99, s',
    'wait mean, s',
    'shared tokens again, a request',
    'refused',
    'choice, us',
)
PERCENTILE = 0.99
US_IN_S = 1000000


def measure(case: Case) -> str:
    """Run a case and return its row."""
    model = Model(case)
    model.run()
    figures = model.figures
    waits = sorted(figures.waits)
    engines = model.engines_by_name.values()
    again = sum(engine.again_tokens for engine in engines)
    cells = (
        case.hosts,
        case.fleet,
        case.load,
        case.ages,
        case.method,
        case.seed,
        round(figures.uneven / figures.samples, 3),
        round(statistics.mean(figures.busiest), 2),
        round(waits[int(len(waits) * PERCENTILE)], 3),
        round(statistics.mean(waits), 3),
        round(again / figures.arrived),
        round(figures.refused / figures.arrived, 4),
        round(statistics.median(figures.choice_s) * US_IN_S),
    )
    return _row([str(cell) for cell in cells])


def _row(cells: Sequence[str]) -> str:
    joined = ' | '.join(cells)
    return f'| {joined} |'


@click.command(context_settings={'show_default': True})
@click.option('--method', 'methods', multiple=True, default=tuple(METHODS))
@click.option('--hosts', multiple=True, type=int, default=(9, 89, 195))
@click.option('--fleet', 'fleets', multiple=True, default=tuple(FLEETS))
@click.option('--load', 'loads', multiple=True, default=(0.7, 0.9, 1.0))
@click.option('--ages', multiple=True, default=('real', 'old'))
@click.option('--seeds', default=1)
def main(
    methods: Sequence[str],
    hosts: Sequence[int],
    fleets: Sequence[str],
    loads: Sequence[float],
    ages: Sequence[str],
    seeds: int,
) -> None:
    """Print a row for each combination."""
    click.echo(_row(COLUMNS))
    click.echo(_row(['---' for _ in COLUMNS]))
    cells = itertools.product(
        hosts, fleets, loads, ages, methods, range(1, seeds + 1)
    )
    cases = [Case(*cell) for cell in cells]
    with futures.ProcessPoolExecutor(max_workers=3) as pool:
        for row in pool.map(measure, cases):
            click.echo(row)


if __name__ == '__main__':
    main()
