"""What becomes of a request whose alternative refuses, or whose target ends."""

import asyncio
import dataclasses

import geranium_relay as relay
import pytest

from .test_retry_budget import FULL, NO_BUDGET, QUICK, late, late_head
from .world import EVENTS, FakeAnswer, World, failing, silent

NOTICED_S = 0.5  # less than the timeout of the route


@pytest.mark.parametrize('route', ['safe', 'resumable'])
async def test_silent_target_is_not_given_up_for_one_that_refuses(
    route: str,
) -> None:
    """The alternative has a permit, and is full."""
    world = World(targets=2)
    world.relay = world.make_relay(QUICK)

    async def send(call: relay.TargetCall) -> FakeAnswer:
        if world.targets.calls:
            world.targets.calls.append(call)
            raise FULL
        return await late_head(world, call)

    world.targets.send = send
    outcome, sink = await world.serve(route)

    assert outcome == relay.Delivered(200)
    assert sink.data == b''.join(EVENTS)


async def test_silent_stream_is_not_cut_for_a_target_that_refuses() -> None:
    world = World(late(*EVENTS), failing(FULL), targets=2)
    world.relay = world.make_relay(QUICK)

    outcome, sink = await world.serve('resumable')

    assert outcome == relay.Delivered(200)
    assert sink.data == b''.join(EVENTS)


async def test_request_at_a_target_that_was_replaced_ends() -> None:
    """The entry shows a later start: the process that had it is gone."""
    world = World(silent, targets=1, retry_budget=NO_BUDGET)
    world.relay = world.make_relay(QUICK)
    target = world.only_target()
    started = world.clock.now()
    task = asyncio.create_task(world.serve('safe'))
    await asyncio.sleep(0.05)
    world.fleet.replace(
        [dataclasses.replace(target, born_ms=2)], world.clock.now()
    )
    await task

    assert world.clock.now() - started < NOTICED_S
