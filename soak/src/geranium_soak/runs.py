"""A seeded run: a start without faults, faults, and an end without faults."""

import asyncio
import contextlib
import dataclasses
import random

from .checks import ALL_CHECKS, INVARIANTS, Check, Violation, find_violations
from .environment import Environment, EnvironmentSettings
from .host_process import HostProcess
from .injector import Injector
from .observations import Span, now, was_served
from .plans import Step, draw_plan
from .readiness import wait_until_ready
from .traffic import Traffic

WARM_UP_S = 4
CHECK_INTERVAL_S = 5  # between checks of the invariants during a run


@dataclasses.dataclass(frozen=True, slots=True)
class RunSettings:
    """The settings of a run.

    Args:
        seed: Seed of the plan and of all other random behaviour.
        faults_s: Period in which faults begin, in seconds.
        settle_s: Time after the last fault in which the service must recover.
        calm_s: Time after that in which the service must work fully.
        callers: Concurrent callers.
        environment: Size and settings of the environment.
        checks: Checks after a run whose plan was completed.
    """

    seed: int
    faults_s: float
    settle_s: float
    calm_s: float
    callers: int
    environment: EnvironmentSettings
    checks: tuple[Check, ...] = ALL_CHECKS


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The result of a run.

    Args:
        seed: Seed of the run.
        requests: Number of requests sent.
        served: Number of requests with status 200.
        faults: Number of faults in the plan.
        violations: Violated guarantees.
    """

    seed: int
    requests: int
    served: int
    faults: int
    violations: tuple[Violation, ...]


async def run_soak(settings: RunSettings) -> Report:
    """Execute one run and return its result."""
    source = random.Random(f'world/{settings.seed}')
    environment = Environment(settings.environment, source)
    steps = draw_plan(
        settings.seed,
        settings.faults_s,
        settings.environment.hosts,
    )
    async with environment.open():
        await wait_until_ready(environment.hosts)
        traffic = asyncio.create_task(
            Traffic(environment, settings.seed).run(settings.callers),
        )
        await asyncio.sleep(WARM_UP_S)
        checks = INVARIANTS
        completed_plan = await _inject_faults(
            environment, Injector(environment, source), steps
        )
        if completed_plan:
            checks = settings.checks
            await asyncio.sleep(settings.settle_s)
            await _stay_calm(environment, settings.calm_s)
        await _cancel_and_wait(traffic)
        codes = await asyncio.gather(
            *(host.close() for host in environment.hosts)
        )
    violations = find_violations(
        environment.ledger, settings.environment.bounds, checks
    )
    if completed_plan:
        # Exit codes count only here: in a run that was broken off, a host may
        # still be starting, and one that is stopped then may exit at once.
        violations.extend(_exit_violations(environment.hosts, codes))
    return _report(settings, environment, len(steps), violations)


async def _inject_faults(
    environment: Environment,
    injector: Injector,
    steps: tuple[Step, ...],
) -> bool:
    """Inject all faults; stop early and return ``False`` on a violation."""
    injecting = asyncio.create_task(injector.run(steps))
    while not injecting.done():
        await asyncio.wait((injecting,), timeout=CHECK_INTERVAL_S)
        if find_violations(
            environment.ledger, environment.settings.bounds, INVARIANTS
        ):
            await _cancel_and_wait(injecting)
            return False
    await injecting
    return True


async def _stay_calm(environment: Environment, for_s: float) -> None:
    since = now()
    await asyncio.sleep(for_s)
    environment.ledger.calm = Span(since, now())


async def _cancel_and_wait(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


def _exit_violations(
    hosts: list[HostProcess],
    codes: list[int | None],
) -> list[Violation]:
    ends = [
        Violation('clean stop', host.name, f'exit code {code}')
        for host, code in zip(hosts, codes, strict=True)
        if code != 0
    ]
    ends.extend(
        Violation('stays up', host.name, f'ended with {code}')
        for host in hosts
        for code in host.unexpected_exits
    )
    return ends


def _report(
    settings: RunSettings,
    environment: Environment,
    faults: int,
    violations: list[Violation],
) -> Report:
    ledger = environment.ledger
    return Report(
        settings.seed,
        len(ledger.sent_by_id),
        sum(map(was_served, ledger.outcome_by_id.values())),
        faults,
        tuple(violations),
    )
