"""A stopping host begins nothing that it can't complete."""

import asyncio
import itertools
import json
import math
from collections.abc import Callable

import geranium_relay as relay
import pytest
from geranium_policy.completion_times import RequestKind

from .world import (
    EVENTS,
    FakeAnswer,
    FakeSink,
    World,
    answer,
    cut,
    failing,
    silent,
    slow,
    trickling,
)

TOO_SOON_S = 0.2  # less than the timeout of the routes
SAMPLES = 30
SHORT_S = 0.01  # much less than is left
ALL_KINDS = ('safe', 'unsafe', 'stream', 'resumable')


def stop(world: World, left_s: float = TOO_SOON_S) -> None:
    world.shutdown.begin(world.clock.now() + left_s)


def stopping(
    world: World, script: Callable[[relay.TargetCall], FakeAnswer]
) -> Callable[[relay.TargetCall], FakeAnswer]:
    """Return a script during which the host begins to stop."""

    def run(call: relay.TargetCall) -> FakeAnswer:
        stop(world)
        return script(call)

    return run


def ended(world: World) -> list[tuple[str, object]]:
    """Return the outcomes in the log, with their details."""
    lines = map(json.loads, world.lines)
    return [
        (line['outcome'], line['detail'])
        for line in lines
        if line['event'] == 'ended'
    ]


# The host took streams that it couldn't finish, and cut them at its end.
@pytest.mark.parametrize('route', ALL_KINDS)
async def test_request_that_outlives_its_host_is_not_run(route: str) -> None:
    world = World(answer(*EVENTS))
    stop(world)

    outcome, _ = await world.serve(route)

    assert isinstance(outcome, relay.Refused)
    assert outcome.reason == 'host is stopping'
    assert not outcome.elsewhere
    assert not world.targets.calls


async def test_caller_of_the_only_host_is_told_when_it_has_stopped() -> None:
    world = World()
    stop(world)

    outcome, _ = await world.serve('unsafe')

    assert isinstance(outcome, relay.Refused)
    assert outcome.retry_after_s >= TOO_SOON_S / 2


async def test_accepted_request_is_logged_with_the_time_it_may_take() -> None:
    world = World(answer(*EVENTS))
    left_s = 60
    stop(world, left_s)

    await world.serve('unsafe')

    accepted = [
        line
        for line in map(json.loads, world.lines)
        if line['event'] == 'accepted_while_stopping'
    ]
    assert len(accepted) == 1
    assert 0 < accepted[0]['needed_s'] <= accepted[0]['left_s']
    assert accepted[0]['left_s'] <= left_s


@pytest.mark.parametrize('route', ALL_KINDS)
async def test_request_that_ends_in_time_is_served(route: str) -> None:
    world = World(answer(*EVENTS))
    stop(world, 2)

    outcome, _ = await world.serve(route)

    assert outcome == relay.Delivered(200)


async def test_short_requests_are_served_to_the_end() -> None:
    """Their timeout alone would turn them away."""
    world = World(answer(b'yes'))
    kind = RequestKind('unsafe', '/unsafe/x')
    for _ in range(SAMPLES):
        world.completions.observe(kind, SHORT_S, world.clock.now())
    stop(world)

    outcome, _ = await world.serve('unsafe')

    assert outcome == relay.Delivered(200)


async def test_estimate_comes_from_the_requests_that_were_served() -> None:
    world = World(*itertools.repeat(answer(b'yes'), SAMPLES))
    kind = RequestKind('unsafe', '/unsafe/x')
    assert math.isinf(world.completions.estimate_s(kind, world.clock.now()))
    for _ in range(SAMPLES):
        await world.serve('unsafe')

    estimate_s = world.completions.estimate_s(kind, world.clock.now())

    assert math.isfinite(estimate_s)


async def test_request_that_no_target_took_is_not_sent_again() -> None:
    world = World()
    full = failing(relay.NotRunError('full'))
    world.targets.add_scripts(stopping(world, full), answer(b'yes'))

    outcome, _ = await world.serve('unsafe')

    assert isinstance(outcome, relay.Refused)
    assert len(world.targets.calls) == 1


async def test_request_that_may_have_run_goes_on() -> None:
    """Its alternative is a failure, and most requests are short."""
    world = World()
    lost = failing(relay.AnswerLostError('reset', broken=True))
    world.targets.add_scripts(stopping(world, lost), answer(b'yes'))

    outcome, _ = await world.serve('safe')

    assert outcome == relay.Delivered(200)


async def test_stream_that_has_begun_goes_on() -> None:
    world = World()
    rest = answer(*EVENTS[1:])
    world.targets.add_scripts(stopping(world, cut(EVENTS[0])), rest)

    outcome, sink = await world.serve('resumable')

    assert outcome == relay.Delivered(200)
    assert sink.data == b''.join(EVENTS)


async def test_prefilled_prompt_is_freed_if_the_host_stops() -> None:
    world = World(answer(*EVENTS), engines=True)
    world.place_isolated()
    read_prompt = world.targets.read_prompt

    async def read_and_stop(call: relay.TargetCall) -> relay.CacheHandle:
        stop(world)
        return await read_prompt(call)

    world.targets.read_prompt = read_and_stop
    prompt = relay.Prompt(10, 10, (relay.PromptPart('p', 10),))

    outcome, _ = await world.serve('stream', prompt=prompt)

    assert isinstance(outcome, relay.Refused)
    assert not world.targets.calls
    assert len(world.targets.dropped) == 1


async def test_silent_target_is_kept_if_no_other_attempt_ends_in_time() -> None:
    world = World(silent, answer(b'yes'))
    serving = asyncio.create_task(world.serve('safe'))
    await asyncio.sleep(0)
    stop(world, 0.1)

    outcome, _ = await serving

    assert outcome == relay.TimedOut()
    assert len(world.targets.calls) == 1


async def test_request_of_another_host_is_refused_to_that_host() -> None:
    """It holds the caller, and may pass the request on to a further host."""
    world = World()
    now = world.clock.now()
    arrival = relay.IncomingRequest(
        'r1', 'POST', '/unsafe/x', (), b'', now, now + 2, None, None
    )
    request = relay.ForwardedRequest(
        'h2', 'example', 'key', arrival, 'service', now, relay.RunProgress()
    )
    stop(world)

    outcome = await world.relay.serve_forwarded(request, FakeSink())

    assert isinstance(outcome, relay.Refused)
    assert outcome.elsewhere


# Requests that were open at the end of the grace period got no answer, and the
# log said that their callers had left.
@pytest.mark.parametrize(
    ('route', 'script', 'outcome', 'seen'),
    [
        ('unsafe', silent, relay.Failed, 'Failed'),
        ('stream', trickling(EVENTS[0]), relay.CutOff, 'CutOff'),
        ('stream', silent, relay.Failed, 'Failed'),
    ],
)
async def test_request_that_the_host_ends_has_an_outcome(
    route: str, script: object, outcome: type[relay.Outcome], seen: str
) -> None:
    world = World(script)
    serving = asyncio.create_task(world.serve(route))
    await asyncio.sleep(0.15)

    world.shutdown.end_requests()
    ended_with, _ = await serving

    assert isinstance(ended_with, outcome)
    assert ended(world) == [(seen, 'host is stopping')]


async def test_request_after_the_end_is_refused() -> None:
    """A kept connection brings it while the host closes its connections."""
    world = World(*itertools.repeat(answer(b'yes'), 5))
    for _ in range(4):
        await world.serve('unsafe')
    world.shutdown.end_requests()

    outcome, _ = await world.serve('unsafe')

    assert isinstance(outcome, relay.Refused)
    assert len(world.targets.calls) == 4


async def test_paced_stream_counts_with_its_whole_length() -> None:
    """The first event says nothing of the last one."""
    world = World(*itertools.repeat(slow(*EVENTS), 5))
    for _ in range(4):
        await world.serve('stream')
    stop(world)

    outcome, _ = await world.serve('stream')

    assert isinstance(outcome, relay.Refused)
