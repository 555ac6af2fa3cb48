"""One seeded run: a calm start, faults, and a calm end."""

import asyncio
import contextlib
import dataclasses
import functools
import random
from http import HTTPStatus

import aiohttp
from geranium_standins.managed_process import wait_until

from .checks import AT_THE_END, HARD, Check, Violation, find_violations
from .host_process import HostProcess
from .injector import Injector
from .observations import Span, now, was_served
from .plans import Step, draw_plan
from .traffic import Traffic
from .world import World, WorldSettings

READY_LIMIT_S = 60  # for all hosts of a loaded machine to start
WARM_UP_S = 4
LOOK_S = 5  # between two checks of what holds at every moment


@dataclasses.dataclass(frozen=True, slots=True)
class RunSettings:
    """What a run does.

    Args:
        seed: Draws the plan of faults and what everything does.
        faults_s: Time in which faults begin, in seconds.
        settle_s: Time after them in which the service must be back.
        calm_s: Time after they are over in which service must be whole.
        callers: Callers that send at once.
        world: What the run is about.
        checks: What is judged once all faults are over.
    """

    seed: int
    faults_s: float
    settle_s: float
    calm_s: float
    callers: int
    world: WorldSettings
    checks: tuple[Check, ...] = AT_THE_END


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a run found.

    Args:
        seed: Of the run.
        requests: How many were sent.
        served: How many of them were answered 200.
        faults: How many were injected.
        violations: Promises that were not kept.
    """

    seed: int
    requests: int
    served: int
    faults: int
    violations: tuple[Violation, ...]


async def run_soak(settings: RunSettings) -> Report:
    """Play one run and return what it found."""
    source = random.Random(f'world/{settings.seed}')
    world = World(settings.world, source)
    steps = draw_plan(
        settings.seed,
        settings.faults_s,
        settings.world.hosts,
    )
    async with world.open():
        await _wait_until_ready(world)
        traffic = asyncio.create_task(
            Traffic(world, settings.seed).run(settings.callers),
        )
        await asyncio.sleep(WARM_UP_S)
        checks = HARD
        is_whole = await _play(world, Injector(world, source), steps)
        if is_whole:
            checks = settings.checks
            await asyncio.sleep(settings.settle_s)
            await _stay_calm(world, settings.calm_s)
        await _cancel(traffic)
        codes = await asyncio.gather(*(host.close() for host in world.hosts))
    violations = find_violations(world.ledger, settings.world.bounds, checks)
    if is_whole:
        # A host that is only starting may end at once when it is stopped.
        violations.extend(_bad_ends(world.hosts, codes))
    return _report(settings, world, len(steps), violations)


async def _play(
    world: World,
    injector: Injector,
    steps: tuple[Step, ...],
) -> bool:
    """Inject all faults; ``False`` if a promise was broken meanwhile."""
    injecting = asyncio.create_task(injector.run(steps))
    while not injecting.done():
        await asyncio.wait((injecting,), timeout=LOOK_S)
        if find_violations(world.ledger, world.settings.bounds, HARD):
            await _cancel(injecting)
            return False
    await injecting
    return True


async def _stay_calm(world: World, for_s: float) -> None:
    since = now()
    await asyncio.sleep(for_s)
    world.ledger.calm = Span(since, now())


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def _wait_until_ready(world: World) -> None:
    async with aiohttp.ClientSession() as client:
        for host in world.hosts:
            ready = functools.partial(_is_ready, client, host.place.ready)
            await wait_until(ready, READY_LIMIT_S)


async def _is_ready(client: aiohttp.ClientSession, address: str) -> bool:
    try:
        async with client.get(f'http://{address}/ready') as response:
            return response.status == HTTPStatus.OK
    except aiohttp.ClientError:
        return False


def _bad_ends(
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
        for code in host.unexpected_ends
    )
    return ends


def _report(
    settings: RunSettings,
    world: World,
    faults: int,
    violations: list[Violation],
) -> Report:
    ledger = world.ledger
    return Report(
        settings.seed,
        len(ledger.sent_by_id),
        sum(map(was_served, ledger.end_by_id.values())),
        faults,
        tuple(violations),
    )
