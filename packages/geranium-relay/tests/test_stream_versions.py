"""Streams that go on while two software versions serve side by side."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

import geranium_relay as relay
import pytest
from geranium_coordination import MemoryStore, UnavailableError, Unconditional
from geranium_relay.peer_updates import name_hash

from . import origins
from .test_peer_updates import Clock, make_target
from .world import EVENTS, World, answer, cut

STREAMS = 12
LIFETIME_S = relay.StreamOriginSettings().lifetime_s
RESUMED = answer(*EVENTS[1:])
VERSIONS = ('v1', 'v2', 'v1', 'v2', 'v1', 'v2')


def make_world(*versions: str) -> World:
    """Return a world with a target of each of the versions."""
    world = World(targets=len(versions))
    targets = world.fleet.targets_by_identity.values()
    versioned = [
        dataclasses.replace(target, software_version=version)
        for target, version in zip(targets, versions, strict=True)
    ]
    world.fleet.replace(versioned, world.clock.now())
    return world


def versions_of_calls(world: World) -> list[str]:
    return [call.target.software_version for call in world.targets.calls]


async def break_off(world: World, identity: str) -> str:
    """Break a stream off for good after an event; return its version."""
    world.targets.add_scripts(cut(EVENTS[0]), cut())
    calls = len(world.targets.calls)
    outcome, _ = await world.serve('resumable', identity=identity)
    assert isinstance(outcome, relay.CutOff)
    return versions_of_calls(world)[calls]


async def test_stream_is_resumed_at_the_version_that_began_it() -> None:
    world = make_world(*VERSIONS)
    for number in range(STREAMS):
        world.targets.add_scripts(cut(EVENTS[0]), RESUMED)
        outcome, sink = await world.serve('resumable', identity=f'r{number}')
        assert outcome == relay.Delivered(200)
        assert sink.data == b''.join(EVENTS)

    versions = versions_of_calls(world)
    assert len(versions) == 2 * STREAMS
    assert versions[::2] == versions[1::2]


async def test_stream_whose_version_is_gone_is_cut_off() -> None:
    world = make_world('v1', 'v2')
    world.targets.add_scripts(cut(EVENTS[0]), RESUMED)

    outcome, _ = await world.serve('resumable')

    assert isinstance(outcome, relay.CutOff)
    assert len(world.targets.calls) == 1


async def test_stream_without_an_event_yet_may_begin_at_another_version() -> (
    None
):
    world = make_world('v1', 'v2')
    partial = EVENTS[0][:-1]
    world.targets.add_scripts(cut(partial), answer(*EVENTS))

    outcome, sink = await world.serve('resumable')

    assert outcome == relay.Delivered(200)
    assert sink.data == b''.join(EVENTS)
    assert len(set(versions_of_calls(world))) == 2


async def test_stream_taken_up_by_its_caller_goes_on_at_its_version() -> None:
    world = make_world(*VERSIONS)
    for number in range(STREAMS):
        version = await break_off(world, f'first-{number}')
        world.targets.add_scripts(RESUMED)
        outcome, _ = await world.serve(
            'resumable',
            identity=f'r{number}',
            resume_after='1',
            began_as=f'first-{number}',
        )
        assert outcome == relay.Delivered(200)
        assert versions_of_calls(world)[-1] == version


async def test_stream_of_unknown_version_is_refused_as_not_run() -> None:
    world = make_world('v1', 'v2')
    world.targets.add_scripts(RESUMED)

    outcome, _ = await world.serve(
        'resumable', resume_after='1', began_as='unknown'
    )

    assert isinstance(outcome, relay.Refused)
    assert not world.targets.calls


def make_origins(
    fleet: relay.Fleet, clock: Clock, store: MemoryStore | None = None
) -> relay.StreamOrigins:
    return origins.make_origins(fleet, clock.now, clock.now, store, 0)


def make_targets(*versions: str, born_ms: int = 1) -> list[relay.Target]:
    return [
        make_target(
            f't-{version}',
            born_ms=born_ms,
            software_version=version,
            stage=None,
        )
        for version in versions
    ]


async def test_second_host_learns_where_a_stream_began() -> None:
    """The host that began the stream is killed, its caller goes elsewhere."""
    clock = Clock()
    fleet = relay.Fleet(0, LIFETIME_S)
    fleet.replace(make_targets('v1', 'v2'), clock.now())
    first, second = make_origins(fleet, clock), make_origins(fleet, clock)
    first.record('attempt', 'v1')

    for audience in relay.Audience:
        second.record_peer_origins(first.take(audience))

    assert await second.find('attempt', 's') == 'v1'
    assert await second.find('other', 's') is None


async def test_update_that_arrives_meanwhile_says_where_a_stream_began() -> (
    None
):
    world = make_world('v1', 'v2')
    world.targets.add_scripts(RESUMED)
    taken_up = asyncio.create_task(
        world.serve('resumable', resume_after='1', began_as='first')
    )
    await asyncio.sleep(0)

    origin = relay.StreamOrigin(name_hash('first'), 'v2')
    world.origins.record_peer_origins((origin,))

    outcome, _ = await taken_up
    assert outcome == relay.Delivered(200)
    assert versions_of_calls(world) == ['v2']


async def test_stream_of_unknown_origin_goes_on_where_one_version_was() -> None:
    clock = Clock()
    fleet = relay.Fleet(0, LIFETIME_S)
    fleet.replace(make_targets('v1'), clock.now())

    assert await make_origins(fleet, clock).find('attempt', 's') == 'v1'


async def test_version_that_is_just_gone_may_have_begun_a_stream() -> None:
    clock = Clock()
    fleet = relay.Fleet(0, LIFETIME_S)
    known = make_origins(fleet, clock)
    fleet.replace(make_targets('v1'), clock.now())
    clock.instant += LIFETIME_S
    fleet.replace(make_targets('v2'), clock.now())

    assert await known.find('attempt', 's') is None

    clock.instant += LIFETIME_S + 1
    fleet.replace(make_targets('v2'), clock.now())
    assert await known.find('attempt', 's') == 'v2'


async def test_host_that_just_started_does_not_guess_after_a_release() -> None:
    """Targets that started lately may have replaced those of a version."""
    clock = Clock()
    born_ms = int((clock.now() - 1) * 1000)
    fleet = relay.Fleet(0, LIFETIME_S)
    fleet.replace(make_targets('v2', born_ms=born_ms), clock.now())
    known = make_origins(fleet, clock)

    assert await known.find('attempt', 's') is None

    clock.instant += LIFETIME_S
    fleet.replace(make_targets('v2', born_ms=born_ms), clock.now())
    assert await known.find('attempt', 's') == 'v2'


async def test_stream_of_a_service_without_targets_is_of_unknown_version() -> (
    None
):
    clock = Clock()
    fleet = relay.Fleet(0, LIFETIME_S)
    fleet.replace((), clock.now())

    assert await make_origins(fleet, clock).find('attempt', 's') is None


async def test_stream_whose_targets_are_just_gone_keeps_its_version() -> None:
    clock = Clock()
    fleet = relay.Fleet(0, LIFETIME_S)
    fleet.replace(make_targets('v1'), clock.now())
    fleet.replace((), clock.now())

    assert await make_origins(fleet, clock).find('attempt', 's') == 'v1'


class AbsentStore(MemoryStore):
    async def read_prefix(self, prefix: str) -> None:
        raise UnavailableError(prefix)


class HeldLease:
    """A lease that is held until the test ends."""

    def is_held(self) -> bool:
        return True


@contextlib.asynccontextmanager
async def recording(
    fleet: relay.Fleet, clock: Clock, store: MemoryStore
) -> AsyncIterator[asyncio.Queue[str]]:
    """Let a host keep the records; yield its log lines."""
    lines = asyncio.Queue[str]()
    records = origins.make_records(fleet, clock.now, store, lines)
    task = asyncio.create_task(records.run(HeldLease()))
    yield lines
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def test_all_hosts_killed_after_a_version_left_do_not_guess() -> None:
    clock, store = Clock(), MemoryStore()
    fleet = relay.Fleet(0, LIFETIME_S)
    fleet.replace(make_targets('v1', 'v2'), clock.now())
    async with recording(fleet, clock, store) as lines:
        await lines.get()
    restarted = relay.Fleet(0, LIFETIME_S)
    restarted.replace(make_targets('v2'), clock.now())

    assert await make_origins(restarted, clock, store).find('x', 's') is None

    async with recording(restarted, clock, store) as lines:
        clock.instant += LIFETIME_S
        await lines.get()
    fresh = relay.Fleet(0, LIFETIME_S)
    fresh.replace(make_targets('v2'), clock.now())
    assert await make_origins(fresh, clock, store).find('x', 's') == 'v2'


async def test_host_that_can_not_read_the_records_does_not_guess() -> None:
    clock = Clock()
    fleet = relay.Fleet(0, LIFETIME_S)
    fleet.replace(make_targets('v1'), clock.now())

    found = await make_origins(fleet, clock, AbsentStore()).find('x', 's')

    assert found is None


@pytest.mark.parametrize('body', [None, [], {}, {'versions': 7}])
async def test_unreadable_record_of_another_build_is_no_proof(
    body: object,
) -> None:
    clock, store = Clock(), MemoryStore()
    await store.write('target-versions/s', body, Unconditional())
    await store.write(
        'target-versions/other',
        {'versions': ['v1', 'v2'], 'later': 1},
        Unconditional(),
    )
    fleet = relay.Fleet(0, LIFETIME_S)
    fleet.replace(make_targets('v1'), clock.now())
    records = origins.make_records(fleet, clock.now, store)

    assert await records.may_have_begun_elsewhere('s', 'v1')
    assert await records.may_have_begun_elsewhere('other', 'v1')
    assert not await records.may_have_begun_elsewhere('third', 'v1')


async def test_unreadable_record_does_not_end_the_records() -> None:
    clock, store = Clock(), MemoryStore()
    await store.write('target-versions/s', None, Unconditional())
    fleet = relay.Fleet(0, LIFETIME_S)
    fleet.replace(make_targets('v1', 'v2'), clock.now())
    async with asyncio.timeout(5), recording(fleet, clock, store) as lines:
        assert 'version_record_unreadable' in await lines.get()
        assert 'versions_recorded' in await lines.get()
