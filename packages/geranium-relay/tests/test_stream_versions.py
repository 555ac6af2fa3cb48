"""Streams that go on while two software versions serve side by side."""

import dataclasses

import geranium_relay as relay

from .world import EVENTS, World, answer, cut

STREAMS = 12
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
    world.targets.add_scripts(cut(EVENTS[0][:4]), answer(*EVENTS))

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
