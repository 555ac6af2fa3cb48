"""Compares ways to keep the quotas of teams over many hosts.

Usage: ``python quotas.py [--seed N ...]``. Prints a Markdown table with the
mean over the seeds and, in brackets, the minimum and the maximum. The figures
come from a simulation without a network, not from real daemons.

*one bucket* is what a host that knew everything at once would do. *static
share* gives each host an equal part of each limit. Both start full.
"""

import dataclasses
import random
import statistics
from collections.abc import Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import TypeAlias

import click
from geranium_policy.team_quotas import QuotaLimit
from quota_fleet import Arrival, BrokerFleet, Fleet, Record, SharedBuckets

SIZES = ((9, 16), (76, 60), (195, 140))  # hosts and teams
SEEDS = (1, 2, 3)
START_S = 5  # buckets of brokers start empty
FAULT_S = 15
END_S = 35
WINDOW_S = 8
COSTS = (1460, 9190, 17020)  # tokens, of three kinds of prompts
COST_WEIGHTS = (5, 3, 2)
MEAN_COST = 6891
LARGE = QuotaLimit(439_052, 439_052, in_tokens=True)
SMALL_RATES = (20_000, 110_000)
GREEDY, SINGLE = 0, 1  # teams
LOADS_BY_TEAM = MappingProxyType({GREEDY: 6, SINGLE: 0.9})
HOSTS_BY_TEAM = MappingProxyType({GREEDY: (1, 2), SINGLE: (3,)})
SMALL_LOAD = 0.6
CUT_SHARE = 0.1

Figures: TypeAlias = Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A way to keep the quotas, and what fails in the middle."""

    hosts: int
    teams: int
    way: str
    fault: str


@click.command(context_settings={'show_default': True})
@click.option('--seed', 'seeds', multiple=True, type=int, default=SEEDS)
def main(seeds: Sequence[int]) -> None:
    """Print the table."""
    header_printed = False
    for case in _cases():
        runs = [_run(case, seed) for seed in seeds]
        if not header_printed:
            header = ('hosts', 'teams', 'way', 'fault', *runs[0])
            _print_row(header)
            _print_row(['---' for _ in header])
            header_printed = True
        sizes = (str(case.hosts), str(case.teams))
        cells = [_cell(runs, figure) for figure in runs[0]]
        _print_row((*sizes, case.way, case.fault, *cells))


def _cases() -> Iterator[Case]:
    for hosts, teams in SIZES:
        yield Case(hosts, teams, 'one bucket', 'none')
        yield Case(hosts, teams, 'static share', 'none')
        for fault in ('none', 'cut', 'broker dies'):
            yield Case(hosts, teams, 'broker', fault)


def _run(case: Case, seed: int) -> Figures:
    source = random.Random(seed)
    limits = _limits(case.teams, source)
    record = Record([], [], [])
    fleet = _make_fleet(limits, case, seed)
    arrivals = sorted(_arrivals(limits, case.hosts, source), key=_arrived_at)
    _play(fleet, _between(arrivals, 0, FAULT_S), record)
    _cause(fleet, case)
    _play(fleet, _between(arrivals, FAULT_S, END_S), record)
    fleet.advance(END_S + 1)
    return _figures(limits, record, fleet)


def _between(
    arrivals: Sequence[Arrival], start: float, end: float
) -> list[Arrival]:
    return [arrival for arrival in arrivals if start <= arrival.at < end]


def _play(fleet: Fleet, arrivals: Sequence[Arrival], record: Record) -> None:
    for arrival in arrivals:
        fleet.advance(arrival.at)
        fleet.request(arrival, record)


def _limits(teams: int, source: random.Random) -> list[QuotaLimit]:
    rates = [source.randrange(*SMALL_RATES) for _ in range(teams - 2)]
    small = [QuotaLimit(rate, rate, in_tokens=True) for rate in rates]
    return [LARGE, LARGE, *small]


def _make_fleet(limits: Sequence[QuotaLimit], case: Case, seed: int) -> Fleet:
    if case.way == 'broker':
        return BrokerFleet(limits, case.hosts, seed)
    shared = case.way == 'one bucket'
    return SharedBuckets(limits, case.hosts, shared=shared)


def _cause(fleet: Fleet, case: Case) -> None:
    if not isinstance(fleet, BrokerFleet):
        return
    if case.fault == 'cut':
        count = max(round(case.hosts * CUT_SHARE), 1)
        fleet.cut(range(case.hosts - count, case.hosts))
    elif case.fault == 'broker dies':
        fleet.kill(0)


def _arrivals(
    limits: Sequence[QuotaLimit], hosts: int, source: random.Random
) -> Iterator[Arrival]:
    """Yield the requests of all teams.

    The greedy team uses two hosts, the next one a single host, and the others
    all hosts but the strongest, which is the broker that dies.
    """
    for team, limit in enumerate(limits):
        load = LOADS_BY_TEAM.get(team, SMALL_LOAD)
        per_s = limit.rate_per_s * load / MEAN_COST
        at = START_S + source.expovariate(per_s)
        while at < END_S:
            host = source.choice(HOSTS_BY_TEAM.get(team, range(1, hosts)))
            costs = source.choices(COSTS, COST_WEIGHTS)
            yield Arrival(at, host, team, costs[0])
            at += source.expovariate(per_s)


def _figures(
    limits: Sequence[QuotaLimit], record: Record, fleet: Fleet
) -> Figures:
    waits = sorted(record.waits_s)
    messages = 0
    if isinstance(fleet, BrokerFleet):
        messages = max(fleet.messages_by_host.values())
    allowed = LARGE.rate_per_s * (END_S - FAULT_S)
    greedy = _tokens(record.runs, (GREEDY,), FAULT_S)
    small = range(SINGLE + 1, len(limits))
    return {
        'greedy served / limit': greedy / allowed,
        'single refused': _refused(record, (SINGLE,)),
        'others refused': _refused(record, small),
        'worst window / limit': max(
            _worst_window(record.runs, team) / _allowed(limit)
            for team, limit in enumerate(limits)
        ),
        'wait p50 ms': waits[len(waits) // 2] * 1000,
        'wait p99 ms': waits[len(waits) * 99 // 100] * 1000,
        'datagrams/s at broker': messages / END_S,
    }


def _refused(record: Record, teams: Sequence[int]) -> float:
    """Return the share of the tokens of teams that was refused."""
    refused = _tokens(record.refused, teams, FAULT_S)
    return refused / (refused + _tokens(record.runs, teams, FAULT_S))


def _tokens(
    arrivals: Sequence[Arrival], teams: Sequence[int], since: float
) -> int:
    return sum(
        arrival.cost
        for arrival in arrivals
        if arrival.team in teams and arrival.at >= since
    )


def _allowed(limit: QuotaLimit) -> float:
    return limit.rate_per_s * WINDOW_S + limit.burst


def _worst_window(runs: Sequence[Arrival], team: int) -> int:
    """Return the most tokens of a team in a window."""
    own = [arrival for arrival in runs if arrival.team == team]
    worst = 0
    total = 0
    oldest = 0
    for arrival in own:
        total += arrival.cost
        while own[oldest].at <= arrival.at - WINDOW_S:
            total -= own[oldest].cost
            oldest += 1
        worst = max(worst, total)
    return worst


def _arrived_at(arrival: Arrival) -> float:
    return arrival.at


def _cell(runs: Sequence[Figures], figure: str) -> str:
    values = [run[figure] for run in runs]
    mean, least, most = (
        format(value, '.3g')
        for value in (statistics.mean(values), min(values), max(values))
    )
    return f'{mean} ({least} to {most})'


def _print_row(cells: Sequence[str]) -> None:
    joined = ' | '.join(cells)
    click.echo(f'| {joined} |')


if __name__ == '__main__':
    main()
