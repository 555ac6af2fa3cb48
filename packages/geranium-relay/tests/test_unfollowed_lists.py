"""A host that was out of step does not guess where streams began.

Another operator's report: a host was cut off, or stood still, for seconds while
targets of a new software version joined. Streams that had begun on these came
back to that host and went on at a target of another version.
"""

import asyncio
import dataclasses
from collections.abc import Callable

import geranium_relay as relay
import pytest
from geranium_relay.peer_updates import name_hash

from .origins import make_origins
from .test_peer_updates import Clock
from .test_runs import QUICK
from .test_stream_versions import (
    RESUMED,
    make_targets,
    make_world,
    versions_of_calls,
)
from .world import EVENTS, answer, trickling

OUTAGE_S = 2.5
CADENCE_S = 0.7
STALL_S = 5
LIFETIME_S = relay.StreamOriginSettings().lifetime_s


class OutOfStep:
    """A host that followed a list with one version for long."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.fleet = relay.Fleet(0, OUTAGE_S)
        self.origins = make_origins(
            self.fleet, self.clock.now, self.clock.now, max_wait_s=0.05
        )
        for _ in range(int(2 * LIFETIME_S / CADENCE_S)):
            self.read('v1')
            self.clock.instant += CADENCE_S
        self.read('v1')

    def read(self, *versions: str) -> None:
        self.fleet.replace(make_targets(*versions), self.clock.now())

    def store_has(self, *versions: str) -> None:
        """Let the store be readable again, with targets of these versions."""
        self.origins.request_read = lambda: self.read(*versions)


@pytest.fixture
def host() -> OutOfStep:
    return OutOfStep()


def nothing(_host: OutOfStep) -> None:
    """The host was cut off from the store and the other hosts."""


def confirm(host: OutOfStep) -> None:
    """Updates that waited in the socket seem to be new."""
    host.fleet.confirm(host.clock.now())


@pytest.mark.parametrize('meanwhile', [nothing, confirm])
@pytest.mark.parametrize('stall_s', [0.5, STALL_S])
async def test_old_list_does_not_tell_where_a_stream_began(
    host: OutOfStep, stall_s: float, meanwhile: Callable[[OutOfStep], None]
) -> None:
    host.clock.instant += stall_s
    meanwhile(host)

    host.clock.instant += 0.01
    assert await host.origins.find('attempt', 's') is None


async def test_new_list_shows_the_version_that_has_joined(
    host: OutOfStep,
) -> None:
    host.clock.instant += STALL_S
    host.store_has('v1', 'v2')

    assert await host.origins.find('attempt', 's') is None


async def test_new_list_shows_that_no_version_has_joined(
    host: OutOfStep,
) -> None:
    host.clock.instant += STALL_S
    host.store_has('v1')

    assert await host.origins.find('attempt', 's') == 'v1'


async def test_version_that_came_and_left_meanwhile_is_in_the_records(
    host: OutOfStep,
) -> None:
    """The new list alone shows one version again."""
    host.clock.instant += STALL_S
    host.origins.records.may_have_begun_elsewhere = _always
    host.store_has('v1')

    assert await host.origins.find('attempt', 's') is None


async def test_origin_that_a_peer_tells_needs_no_list(host: OutOfStep) -> None:
    host.clock.instant += STALL_S
    origin = relay.StreamOrigin(name_hash('attempt'), 'v2')
    host.origins.record_peer_origins((origin,))

    assert await host.origins.find('attempt', 's') == 'v2'


async def test_target_that_restarts_at_another_version_gets_no_stream() -> None:
    """It keeps its id, so that only a new list shows the change."""
    world = make_world('v1')
    world.origins.record('first', 'v1')
    world.targets.add_scripts(answer(*EVENTS[1:]))
    reads = world.fleet.reads
    reads.read_at -= STALL_S
    target = world.only_target()
    restarted = dataclasses.replace(
        target, born_ms=target.born_ms + 1, software_version='v2'
    )
    world.origins.request_read = lambda: world.fleet.replace(
        [restarted], world.clock.now()
    )

    outcome, _ = await world.serve(
        'resumable', resume_after='1', began_as='first'
    )

    assert isinstance(outcome, relay.Refused)
    assert not versions_of_calls(world)


async def test_stream_goes_on_once_its_version_is_confirmed() -> None:
    world = make_world('v1')
    world.origins.record('first', 'v1')
    world.targets.add_scripts(answer(*EVENTS[1:]))
    world.fleet.reads.read_at -= STALL_S
    targets = tuple(world.fleet.targets_by_identity.values())
    world.origins.request_read = lambda: world.fleet.replace(
        targets, world.clock.now()
    )

    outcome, _ = await world.serve(
        'resumable', resume_after='1', began_as='first'
    )

    assert outcome == relay.Delivered(200)


@pytest.mark.parametrize(('age_s', 'calls'), [(0, 2), (STALL_S, 1)])
async def test_silent_target_is_kept_while_the_list_is_old(
    age_s: float, calls: int
) -> None:
    world = make_world('v1', 'v1')
    world.relay = world.make_relay(QUICK)
    world.targets.add_scripts(trickling(EVENTS[0]), RESUMED)
    serving = asyncio.create_task(world.serve('resumable'))
    await asyncio.sleep(0.1)
    world.fleet.reads.read_at -= age_s

    await serving

    assert len(world.targets.calls) == calls


async def _always(_service: str, _version: str) -> bool:
    return True
