"""What becomes of a request whose alternative refuses, or whose target ends."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import geranium_relay as relay
import pytest
from geranium_policy.completion_times import RequestKind

from .test_retry_budget import FULL, NO_BUDGET, QUICK, late, late_head
from .world import EVENTS, OK_HEAD, FakeAnswer, World, failing, silent

Answers: TypeAlias = Callable[[relay.TargetCall], Awaitable[FakeAnswer]]

NOTICED_S = 0.5  # less than the timeout of the route
LONG_S = 0.55  # of the 0.6 s that the route allows
SAMPLES = 30


class OpenCalls:
    """Answers the calls of one request, and counts those that are open."""

    def __init__(self, world: World, *answers: Answers) -> None:
        self.open_count = 0
        self.made = 0
        self.all_made = asyncio.Event()
        self._answers = list(answers)
        world.targets.send = self._send

    async def _send(self, call: relay.TargetCall) -> FakeAnswer:
        answer_call = self._answers[self.made]
        self.made += 1
        self.open_count += 1
        if self.made == len(self._answers):
            self.all_made.set()
        try:
            return await answer_call(call)
        finally:
            self.open_count -= 1


async def never(_call: relay.TargetCall) -> FakeAnswer:
    await asyncio.Event().wait()
    raise AssertionError


def after(seconds: float, answered: FakeAnswer | relay.RelayError) -> Answers:
    async def answer_call(_call: relay.TargetCall) -> FakeAnswer:
        await asyncio.sleep(seconds)
        if isinstance(answered, relay.RelayError):
            raise answered
        return answered

    return answer_call


def whole(head: relay.ResponseHead = OK_HEAD) -> FakeAnswer:
    return FakeAnswer(head, EVENTS)


def make_world() -> World:
    world = World(targets=3)
    world.relay = world.make_relay(QUICK)
    return world


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


# Safe requests whose responses take most of their time got a 504 after two
# runs, since the first was given up when the second began.
@pytest.mark.parametrize('route', ['safe', 'resumable'])
async def test_first_target_is_not_given_up_for_one_that_is_silent_too(
    route: str,
) -> None:
    world = make_world()
    calls = OpenCalls(world, after(0.4, whole()), never)

    outcome, sink = await world.serve(route)

    assert outcome == relay.Delivered(200)
    assert sink.data == b''.join(EVENTS)
    assert (calls.made, calls.open_count) == (2, 0)
    assert world.loads.open_count == 0


async def test_target_that_answers_first_ends_the_call_of_the_other() -> None:
    world = make_world()
    calls = OpenCalls(world, never, after(0.1, whole()))

    outcome, _ = await world.serve('safe')

    assert outcome == relay.Delivered(200)
    assert (calls.made, calls.open_count) == (2, 0)


@pytest.mark.parametrize(
    'failure',
    [
        relay.AnswerLostError('reset'),
        FakeAnswer(relay.ResponseHead(500, (), signed=True), ()),
    ],
)
async def test_request_goes_on_at_the_second_target_if_the_first_fails(
    failure: FakeAnswer | relay.RelayError,
) -> None:
    world = make_world()
    calls = OpenCalls(world, after(0.2, failure), after(0.25, whole()))

    outcome, _ = await world.serve('safe')

    assert outcome == relay.Delivered(200)
    assert (calls.made, calls.open_count) == (2, 0)


@pytest.mark.parametrize('route', ['safe', 'resumable'])
async def test_request_stays_at_the_first_target_if_the_second_fails(
    route: str,
) -> None:
    world = make_world()
    lost = relay.AnswerLostError('reset')
    calls = OpenCalls(world, after(0.4, whole()), after(0, lost))

    outcome, _ = await world.serve(route)

    assert outcome == relay.Delivered(200)
    assert calls.made == 2


async def test_caller_who_leaves_ends_both_calls() -> None:
    world = make_world()
    calls = OpenCalls(world, never, never)
    serving = asyncio.create_task(world.serve('safe'))
    await calls.all_made.wait()

    serving.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await serving

    assert calls.open_count == 0
    assert world.loads.open_count == 0


async def test_request_that_can_not_end_in_time_has_no_second_run() -> None:
    world = make_world()
    kind = RequestKind('safe', '/safe/x')
    for _ in range(SAMPLES):
        world.completions.observe(kind, LONG_S, world.clock.now())
    calls = OpenCalls(world, after(0.4, whole()))

    outcome, _ = await world.serve('safe')

    assert outcome == relay.Delivered(200)
    assert calls.made == 1


@pytest.mark.parametrize('route', ['unsafe', 'stream'])
async def test_request_that_runs_once_ends_with_its_target(route: str) -> None:
    world = make_world()
    calls = OpenCalls(world, never)
    started = world.clock.now()
    task = asyncio.create_task(world.serve(route))
    await calls.all_made.wait()
    targets = world.fleet.targets_by_identity.values()
    later = [dataclasses.replace(target, born_ms=2) for target in targets]
    world.fleet.replace(later, world.clock.now())

    outcome, _ = await task

    assert isinstance(outcome, relay.Failed)
    assert world.clock.now() - started < NOTICED_S
    assert calls.made == 1


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
