"""A second call beside the first leaves no request without its outcome."""

import asyncio
import dataclasses
import time
from collections.abc import AsyncIterator, Awaitable

import geranium_relay as relay
import pytest
from geranium_relay import response_forwarder

from .test_silence_alternatives import (
    QUICK,
    OpenCalls,
    after,
    make_world,
    never,
    whole,
)
from .world import EVENTS, OK_HEAD, FakeAnswer, FakeSink, World

TWO_SENDS = dataclasses.replace(QUICK, max_sends=2)
STALL_S = 0.06
BEFORE_S = 0.02
WITHIN_S = 0.015
FULL = relay.NotRunError('full')


def make_small_world() -> World:
    world = World(targets=2)
    world.relay = world.make_relay(TWO_SENDS)
    return world


# The second call was cancelled when the first target refused at last.
@pytest.mark.parametrize('route', ['safe', 'resumable'])
async def test_second_call_is_awaited_if_the_first_target_refuses(
    route: str,
) -> None:
    world = make_small_world()
    calls = OpenCalls(world, after(0.2, FULL), after(0.25, whole()))

    outcome, _ = await world.serve(route)

    assert outcome == relay.Delivered(200)
    assert (calls.made, calls.open_count) == (2, 0)


async def test_no_third_call_begins_beside_an_open_second_one() -> None:
    world = make_world()
    refusing = after(0.2, FULL)
    second = after(0.25, whole())
    third = after(0.3, whole())
    calls = OpenCalls(world, refusing, second, third)

    outcome, _ = await world.serve('safe')

    assert outcome == relay.Delivered(200)
    assert calls.made == 2


class StalledAnswer(FakeAnswer):
    """Sends its first event and breaks, in one stall of the loop with a time.

    Args:
        ends_at: When its silence ends, by the clock of the loop.
    """

    def __init__(self, ends_at: list[float | None]) -> None:
        super().__init__(OK_HEAD, ())
        self._ends_at = ends_at

    async def chunks(self) -> AsyncIterator[bytes]:
        loop = asyncio.get_running_loop()
        ready = asyncio.Event()
        stall_at = self._ends_at.pop(0) - BEFORE_S
        loop.call_at(stall_at, time.sleep, STALL_S)
        loop.call_at(stall_at + WITHIN_S, ready.set)
        await ready.wait()
        yield EVENTS[0]
        await asyncio.sleep(BEFORE_S)
        raise relay.AnswerLostError('reset', broken=True)


# A second call that was withdrawn before it began left its task behind, and
# the next break of the stream ended the request without an outcome.
async def test_stream_goes_on_after_a_stall_at_the_end_of_a_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = make_world()
    ends_at: list[float | None] = []
    timed = response_forwarder._TimedChunks
    set_deadline = timed._set_deadline

    def note_deadline(chunks: object, limit_s: float | None) -> None:
        set_deadline(chunks, limit_s)
        ends_at.append(chunks._deadline)

    monkeypatch.setattr(timed, '_set_deadline', note_deadline)

    async def first(_call: relay.TargetCall) -> FakeAnswer:
        return StalledAnswer(ends_at)

    async def rest(_call: relay.TargetCall) -> FakeAnswer:
        return FakeAnswer(OK_HEAD, EVENTS[1:])

    OpenCalls(world, first, rest, rest, rest)
    serving = asyncio.create_task(world.serve('resumable'))
    await asyncio.wait((serving,))
    outcome, sink = serving.result()

    assert outcome == relay.Delivered(200)
    assert sink.data == b''.join(EVENTS)


# A request whose deadline fell into the same stall as the end of the drain
# ended the drain with an error, and the process with all its requests.
async def test_drain_ends_all_requests_while_one_expires() -> None:
    shutdown = make_world().shutdown
    ended = []

    expiring = asyncio.Event()

    async def clean_up_slowly() -> None:
        try:
            await asyncio.Event().wait()
        finally:
            expiring.set()
            await asyncio.sleep(0.1)

    async def run(limit_s: float | None, work: Awaitable[None]) -> None:
        try:
            async with shutdown.limit(limit_s):
                await work
        except TimeoutError:
            ended.append(limit_s)

    async with asyncio.TaskGroup() as group:
        group.create_task(run(0, clean_up_slowly()))
        for _ in range(2):
            group.create_task(run(None, asyncio.Event().wait()))
        await expiring.wait()
        shutdown.end_requests()

    assert sorted(ended, key=str) == [0, None, None]


async def test_request_that_comes_after_the_end_is_ended_too() -> None:
    shutdown = make_world().shutdown
    shutdown.end_requests()

    with pytest.raises(TimeoutError):
        async with shutdown.limit():
            await asyncio.Event().wait()


@pytest.mark.parametrize('route', ['safe', 'resumable'])
async def test_cut_host_without_peers_waits_for_a_silent_target(
    monkeypatch: pytest.MonkeyPatch, route: str
) -> None:
    world = make_world()
    calls = OpenCalls(world, after(0.3, whole()), never)
    reach = world._context.reach
    monkeypatch.setattr(reach, 'is_cut', lambda _service: calls.made > 0)

    outcome, _ = await world.serve(route)

    assert outcome == relay.Delivered(200)


# A stopping host began a request that another host had passed on after a run.
async def test_forwarded_request_that_has_run_is_left_to_other_hosts() -> None:
    world = make_world()
    calls = OpenCalls(world, never)
    now = world.clock.now()
    world.shutdown.begin(now + 0.2)
    arrival = relay.IncomingRequest(
        identity='r1',
        method='POST',
        path='/safe/x',
        headers=(),
        body=b'',
        arrived_at=now,
        caller_deadline=now + 2,
        resume_after=None,
        prompt=None,
    )
    request = relay.ForwardedRequest(
        'h2',
        'example',
        'key',
        arrival,
        'service',
        now + 1,
        relay.RunProgress(1, 1),
    )

    outcome = await world.relay.serve_forwarded(request, FakeSink())

    assert isinstance(outcome, relay.Refused)
    assert outcome.elsewhere
    assert not calls.made
