"""Compares the policies with baselines in the discrete-event simulation.

Usage: ``python measure.py SCENARIO [--seed N ...]``. Prints a Markdown table
with the mean over the seeds and, in brackets, the minimum and the maximum.
The figures come from a simulation, not from real daemons.
"""

import collections
import statistics
from collections.abc import Iterator, Mapping, Sequence
from typing import TypeAlias

import click
from batching import Job
from scenarios import (
    DAEMONS,
    ServingCase,
    SpendCase,
    admission_cases,
    roles_cases,
    routing_cases,
    spend_cases,
)
from serving import ModelService
from spending import SpendDay
from workloads import arrivals

TAIL_S = 5
PERCENTILE = 0.95
SEEDS = (1, 2, 3)
SITES = (('Utility', 9), ('Pan Yard', 6))

Figures: TypeAlias = Mapping[str, float]
Case: TypeAlias = ServingCase | SpendCase


@click.command(context_settings={'show_default': True})
@click.argument(
    'scenario',
    type=click.Choice(['routing', 'admission', 'roles', 'spend']),
)
@click.option('--seed', 'seeds', multiple=True, type=int, default=SEEDS)
def main(scenario: str, seeds: Sequence[int]) -> None:
    """Run a scenario at both sites' sizes and print its table."""
    header_printed = False
    for site, engines in SITES:
        for case in _cases(scenario, engines):
            runs = [_measure(case, seed) for seed in seeds]
            if not header_printed:
                _print_header(tuple(runs[0]))
                header_printed = True
            cells = [_cell(runs, figure) for figure in runs[0]]
            click.echo(_row((site, case.name, *cells)))


def _print_header(figures: Sequence[str]) -> None:
    names = ('size', 'policy', *figures)
    click.echo(_row(names))
    click.echo(_row(['---' for _ in names]))


def _cases(scenario: str, engines: int) -> Iterator[Case]:
    match scenario:
        case 'routing':
            yield from routing_cases(engines)
        case 'admission':
            yield from admission_cases(engines)
        case 'roles':
            yield from roles_cases(engines)
        case _:
            yield from spend_cases(engines)


def _measure(case: Case, seed: int) -> Figures:
    match case:
        case ServingCase():
            return _measure_serving(case, seed)
        case SpendCase():
            return _measure_spend(case, seed)


def _measure_serving(case: ServingCase, seed: int) -> Figures:
    service = ModelService(case.settings, seed)
    jobs = []
    for arrival in arrivals(case.teams, case.phases, DAEMONS, seed):
        jobs.append(arrival.job)
        service.receive_at(arrival.job, arrival.daemon)
    duration_s = sum(phase.duration_s for phase in case.phases)
    service.timeline.run(duration_s + TAIL_S)
    # Requests of the last seconds may not have ended.
    counted = [job for job in jobs if job.arrived_at < duration_s - TAIL_S]
    prompts = sum(job.profile.prompt_tokens for job in jobs if not job.refused)
    ratios = list(_fair_ratios(counted))
    return {
        'goodput': sum(job.is_good() for job in counted) / len(counted),
        'refused': sum(job.refused for job in counted) / len(counted),
        'first token p95, s': _first_token_s(counted),
        'prompt tokens read': service.read_tokens / prompts,
        'worst team': min(ratios),
        'Jain': _jain(ratios),
        'role changes': service.role_changes,
    }


def _measure_spend(case: SpendCase, seed: int) -> Figures:
    figures = SpendDay(case.policy, case.contracts, case.day, seed).run()
    return {
        'cost per million': figures.cost_per_million,
        'share on spot': figures.on_spot / figures.served,
        'lost at eviction': figures.lost,
        'not served': figures.unserved,
    }


def _first_token_s(jobs: Sequence[Job]) -> float:
    waits = sorted(
        job.first_token_at - job.arrived_at
        for job in jobs
        if job.first_token_at is not None
    )
    return waits[int(len(waits) * PERCENTILE)]


def _fair_ratios(jobs: Sequence[Job]) -> Iterator[float]:
    """Yield the ratio of each team's good tokens to its fair share.

    Shares are max-min fair: a share is at most the team's demand, and unused
    capacity goes to the other teams.
    """
    demand: collections.Counter[str] = collections.Counter()
    good: collections.Counter[str] = collections.Counter()
    for job in jobs:
        demand[job.profile.team] += job.tokens
        good[job.profile.team] += job.tokens * job.is_good()
    left: float = sum(good.values())
    ascending = sorted(demand, key=lambda name: demand[name])
    for position, team in enumerate(ascending):
        fair = min(demand[team], left / (len(ascending) - position))
        left -= fair
        yield min(good[team] / fair, 1)


def _jain(ratios: Sequence[float]) -> float:
    squares = sum(ratio**2 for ratio in ratios)
    return sum(ratios) ** 2 / len(ratios) / squares


def _cell(runs: Sequence[Figures], figure: str) -> str:
    values = [run[figure] for run in runs]
    mean = _figure(statistics.mean(values))
    least = _figure(min(values))
    greatest = _figure(max(values))
    return f'{mean} ({least} to {greatest})'


def _figure(value: float) -> str:
    return format(value, '.3g')


def _row(cells: Sequence[str]) -> str:
    joined = ' | '.join(cells)
    return f'| {joined} |'


if __name__ == '__main__':
    main()
