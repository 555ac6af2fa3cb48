"""Stops the hosts of a run as planned work, under load.

    python -m geranium_soak.stops --seed 1 --folder F [--checkout CHECKOUT]

Hosts of this checkout, or of another one, are stopped in series and at once
and started again, while callers keep their connections and targets become
slower and faster. No unplanned fault is injected.
"""

import asyncio
import collections
import dataclasses
import logging
import math
import pathlib
import random
import signal
import sys
from collections.abc import Coroutine, Iterable
from http import HTTPStatus
from typing import Any

import click

from .checks import INVARIANTS, Violation, find_violations
from .checks.planned_stops import Fate, judge_cuts, planned_stops_cut_nothing
from .cli import HOST_PROGRAM, SKEWS_S
from .environment import Environment, EnvironmentSettings
from .host_process import HostProcess
from .kept_traffic import TIMEOUTS_MS, KeptTraffic
from .observations import Response, now
from .readiness import running, wait_until_ready, wait_until_replaced
from .stop_plans import PaceChange, StopRound, draw_paces, draw_stops

MIXED_HOST = pathlib.Path(__file__).with_name('mixed_host.py')
WARM_UP_S = 4
LAG_STEP_S = 0.05
CALLERS = 150
CHECKS = (*INVARIANTS, planned_stops_cut_nothing)


@dataclasses.dataclass(frozen=True, slots=True)
class StopsReport:
    """The result of a run.

    Args:
        counts: Number of requests by their outcome.
        ended: Processes that outlived their grace period.
        lag_s: Longest delay of the run's own process, to which the times of
            all observations are right.
        cut_sent_s: When requests that must not be cut were sent, by kind, in
            seconds after SIGTERM.
        violations: Violated guarantees.
    """

    counts: collections.Counter[str]
    ended: int
    lag_s: float
    cut_sent_s: dict[str, list[float]]
    violations: list[Violation]


@click.command()
@click.option('--checkout', type=click.Path(path_type=pathlib.Path))
@click.option('--seed', default=1, help='Seed of the run.')
@click.option('--hosts', default=6, help='Host processes.')
@click.option('--callers', default=CALLERS, help='Concurrent callers.')
@click.option('--rounds', default=6, help='Rounds of stops.')
@click.option(
    '--folder', required=True, type=click.Path(path_type=pathlib.Path)
)
def main(
    checkout: pathlib.Path | None,
    folder: pathlib.Path,
    hosts: int,
    **options: Any,
) -> None:
    """Run once; exit with 1 if a guarantee was violated."""
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    folder.mkdir(parents=True, exist_ok=True)
    program: tuple[str, ...] = HOST_PROGRAM
    if checkout is not None:
        older = str(checkout.absolute())
        program = ('-P', str(MIXED_HOST), '--always', older)
    environment = stops_environment(folder, hosts, program)
    report = asyncio.run(_run_until_sigterm(run_stops(environment, **options)))
    _print_report(report)
    sys.exit(bool(report.violations))


async def _run_until_sigterm(
    run: Coroutine[Any, Any, StopsReport],
) -> StopsReport:
    """Execute a run; SIGTERM ends its processes before this one."""
    task = asyncio.create_task(run)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def stops_environment(
    folder: pathlib.Path, hosts: int, program: tuple[str, ...] = HOST_PROGRAM
) -> EnvironmentSettings:
    """Return the settings of the environment of a run."""
    return EnvironmentSettings(
        hosts, 3, 6, folder, program, SKEWS_S, timeouts_ms=TIMEOUTS_MS
    )


async def run_stops(
    settings: EnvironmentSettings,
    seed: int,
    callers: int,
    rounds: int,
    *,
    gentle: bool = False,
) -> StopsReport:
    """Stop hosts as planned and return what callers observed.

    Args:
        settings: Size and settings of the environment.
        seed: Seed of the stops, the requests and the pace of targets.
        callers: Concurrent callers.
        rounds: Rounds of stops.
        gentle: Keep the pace, and give processes any time to stop.
    """
    environment = Environment(settings, random.Random(f'world/{seed}'))
    lags: list[float] = []
    ended: list[int] = []
    async with environment.open(), running(_measure_lag(lags)):
        await wait_until_ready(environment.hosts)
        traffic = KeptTraffic(environment, seed)
        callers_ended = asyncio.create_task(traffic.run(callers))
        paces = () if gentle else draw_paces(seed)
        async with running(_change_pace(environment, seed, paces)):
            await asyncio.sleep(WARM_UP_S)
            for stops in draw_stops(seed, rounds, settings.hosts):
                kill_s = math.inf if gentle else settings.bounds.grace_s
                ended.append(await _stop_hosts(environment, stops, kill_s))
        traffic.end()
        await callers_ended
    return _report(environment, sum(ended), max(lags, default=0))


async def _stop_hosts(
    environment: Environment, stops: StopRound, kill_s: float
) -> int:
    """Execute a round; return how many processes were killed."""
    stopping: list[asyncio.Task[bool]] = []
    for number in stops.hosts:
        host = environment.hosts[number]
        stop = _stop_host(host, stops.repeated_after_s, kill_s)
        stopping.append(asyncio.create_task(stop))
        await asyncio.sleep(stops.gap_s)
    outlived = await asyncio.gather(*stopping)
    await asyncio.sleep(stops.rest_s)
    return outlived.count(True)


async def _stop_host(
    host: HostProcess, repeated_after_s: float | None, kill_s: float
) -> bool:
    """Replace a process; return whether it was killed after this time."""
    incarnation = host.incarnation
    signals = [(kill_s, signal.SIGKILL)]
    if repeated_after_s is not None:
        signals.insert(0, (repeated_after_s, signal.SIGHUP))
        signals.insert(0, (repeated_after_s, signal.SIGTERM))
    host.terminate()
    signalling = asyncio.create_task(_send_signals(host, signals))
    await wait_until_replaced(host, incarnation)
    signalling.cancel()
    await asyncio.wait((signalling,))
    return not signalling.cancelled() and signalling.result()


async def _send_signals(
    host: HostProcess, signals: Iterable[tuple[float, signal.Signals]]
) -> bool:
    """Send signals to a stopping process; return whether it got all."""
    incarnation = host.incarnation
    began_at = now()
    is_there = True
    for after_s, number in signals:
        await asyncio.sleep(max(began_at + after_s - now(), 0))
        is_there = host.incarnation == incarnation and host.signal_stopping(
            number
        )
    return is_there


async def _change_pace(
    environment: Environment, seed: int, changes: Iterable[PaceChange]
) -> None:
    source = random.Random(f'{seed} slowed')
    for change in changes:
        paces = [
            endpoint.target.pace
            for endpoint in environment.fleet.active()
            if endpoint.target and source.random() < change.share
        ]
        for pace in paces:
            pace.slowness = change.slowness
        await asyncio.sleep(change.for_s)
        for slowed in paces:
            slowed.slowness = 1
        await asyncio.sleep(change.rest_s)


async def _measure_lag(lags: list[float]) -> None:
    while True:
        due_at = now() + LAG_STEP_S
        await asyncio.sleep(LAG_STEP_S)
        lags.append(now() - due_at)


def _report(environment: Environment, ended: int, lag_s: float) -> StopsReport:
    ledger, bounds = environment.ledger, environment.settings.bounds
    cuts = list(judge_cuts(ledger, bounds))
    counts = collections.Counter(map(_name, ledger.outcome_by_id.values()))
    counts.update(each.fate.value for each in cuts)
    cut_sent_s: dict[str, list[float]] = collections.defaultdict(list)
    for each in cuts:
        if each.fate is Fate.CUT and each.stop is not None:
            sent_s = round(each.sent.at - each.stop.began_at, 2)
            cut_sent_s[each.sent.path.split('/')[1]].append(sent_s)
    violations = find_violations(ledger, bounds, CHECKS)
    return StopsReport(counts, ended, lag_s, cut_sent_s, violations)


def _name(outcome: object) -> str:
    if not isinstance(outcome, Response):
        return type(outcome).__name__
    if outcome.signature is not None:
        return f'{outcome.status} of a target'
    return f'{outcome.status} {HTTPStatus(outcome.status).phrase}'


def _print_report(report: StopsReport) -> None:
    lag_s = round(report.lag_s, 2)
    click.echo(f'{report.ended} killed after the grace period, lag {lag_s} s')
    for what, count in report.counts.most_common():
        click.echo(f'{count} {what}')
    for kind, sent_s in report.cut_sent_s.items():
        click.echo(f'cut {kind}, sent {sent_s} s after SIGTERM')
    for violation in report.violations:
        where = f'{violation.promise}: {violation.subject}'
        click.echo(f'  {where}: {violation.detail}')


if __name__ == '__main__':
    main()
