"""Command that runs the measurements and prints their figures.

From ``packages/geranium-standins/benchmarks``: ``python -m capacity``.
"""

import asyncio
import pathlib
import sys
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType

import click

from .changes import measure_changes
from .decisions import measure_decisions
from .exchange import measure_exchange
from .figures import Figure, render_json, render_table
from .lists import measure_lists
from .memory import measure_memory
from .reach import measure_reach
from .runs import measure_flight, measure_relay, measure_runs
from .surface import measure_surface

Measurement = Callable[[], Awaitable[list[Figure]]]

_MEASUREMENTS: Mapping[str, Measurement] = MappingProxyType(
    {
        'memory': measure_memory,
        'exchange': measure_exchange,
        'change': measure_changes,
        'decision': measure_decisions,
        'lists': measure_lists,
        'reach': measure_reach,
        'surface': measure_surface,
        'flight': measure_flight,
        'relay': measure_relay,
        'run': measure_runs,
    },
)


@click.command()
@click.option(
    '--only',
    type=click.Choice(list(_MEASUREMENTS)),
    multiple=True,
    help='Make only these measurements.',
)
@click.option(
    '--json',
    'json_file',
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help='Write the figures to this file too.',
)
def main(only: tuple[str, ...], json_file: pathlib.Path | None) -> None:
    """Measure the cost of a daemon's parts and print a table."""
    figures = asyncio.run(_measure(only or tuple(_MEASUREMENTS)))
    sys.stdout.write(f'{render_table(figures)}\n')
    if json_file is not None:
        json_file.write_text(f'{render_json(figures)}\n')


async def _measure(names: tuple[str, ...]) -> list[Figure]:
    figures: list[Figure] = []
    for name in names:
        figures.extend(await _MEASUREMENTS[name]())
    return figures


if __name__ == '__main__':
    main()
