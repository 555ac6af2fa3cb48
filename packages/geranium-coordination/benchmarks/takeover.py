"""Measures takeover times and platform calls in virtual time.

Run it from the package's directory: ``python -m benchmarks.takeover``. It
uses the processes, clocks and faults of the tests. A takeover lasts from the
holder's fault until the next holder's first order reaches its receiver.
"""

import dataclasses
import statistics

import click
from geranium_coordination import DutySettings, LateCopyHandling, OrderReceiver
from tests.history import Applied, LeaseAcquired
from tests.simulation import Scenario, simulate
from tests.world import Fault, FaultKind, World

FAULT_AT_S = 10.0
FAULT_LENGTH_S = 60.0
RUN_S = 45.0
CALLS_RUN_S = 60.0
PERCENTILE = 99
DEFAULT_SEEDS = 300
_TAKEOVER_HEADER = 'fault   seeds  taken median  order median  99th  worst (s)'
_TAKEOVER_ROW = '{0:7} {1:5}  {2:12.2f}  {3:12.2f}  {4:4.2f}  {5:5.2f}'
_CALLS_HEADER = 'hosts  duties  reads/s  writes/s'
_CALLS_ROW = '{0:5} {1:7}  {2:7.1f}  {3:8.1f}'
FENCING = OrderReceiver('engine', LateCopyHandling.REFUSED)


@dataclasses.dataclass(frozen=True, slots=True)
class Takeover:
    """Seconds from a fault to the new lease and to the first order."""

    taken_s: float
    first_order_s: float


def measure_takeover(kind: FaultKind, seed: int) -> Takeover:
    """Inject one fault into the holder among nine processes."""
    start = FAULT_AT_S + (seed % 100) / 100
    world = simulate(
        Scenario(
            faults=(Fault(start, kind, FAULT_LENGTH_S),),
            rates=(1,) * 9,
            seed=seed * 100,
            length_s=RUN_S,
            receivers=(FENCING,),
        ),
    )
    taken = next(
        event
        for event in world.history
        if isinstance(event, LeaseAcquired) and event.at > start
    )
    applied = next(
        event
        for event in world.history
        if isinstance(event, Applied) and event.at > taken.at
    )
    return Takeover(taken.at - start, applied.at - start)


def measure_calls(hosts: int, duties: int) -> World:
    """Run the given processes and duties without faults or orders."""
    return simulate(
        Scenario(
            rates=(1,) * hosts,
            names=tuple(f'duty-{number}' for number in range(duties)),
            length_s=CALLS_RUN_S,
            duties=DutySettings(),
        ),
    )


def report_takeovers(seeds: int) -> None:
    """Print the distribution of takeover times by fault."""
    click.echo(_TAKEOVER_HEADER)
    for kind in (FaultKind.KILL, FaultKind.FREEZE, FaultKind.CUT):
        rows = [measure_takeover(kind, seed) for seed in range(seeds)]
        orders = sorted(row.first_order_s for row in rows)
        figures = (
            statistics.median(row.taken_s for row in rows),
            statistics.median(orders),
            orders[len(orders) * PERCENTILE // 100],
            orders[-1],
        )
        click.echo(_TAKEOVER_ROW.format(kind.name.lower(), seeds, *figures))


def report_calls() -> None:
    """Print the platform calls per second by the number of processes."""
    click.echo(_CALLS_HEADER)
    for hosts in (3, 9, 50):
        for duties in (1, hosts, 2 * hosts):
            calls = measure_calls(hosts, duties).calls
            rates = (calls[kind] / CALLS_RUN_S for kind in calls)
            click.echo(_CALLS_ROW.format(hosts, duties, *rates))


@click.command()
@click.option('--seeds', default=DEFAULT_SEEDS, help='Runs for each fault.')
def main(seeds: int) -> None:
    """Print both reports."""
    report_takeovers(seeds)
    report_calls()


if __name__ == '__main__':
    main()
