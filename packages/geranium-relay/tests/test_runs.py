"""Every admitted request ends with exactly one correct outcome."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import time

import geranium_relay as relay
import pytest

from .world import (
    EVENTS,
    OK_HEAD,
    FakeAnswer,
    World,
    answer,
    cut,
    failing,
    silent,
    slow,
    trickling,
)

CUT_EVENT = EVENTS[1][:-1]
BLOCK = bytes(65536)
MOST_BYTES = 1048576
QUICK = relay.RunSettings(stream_silence_s=0.2, max_silent_gaps=0)


async def test_complete_response_is_forwarded() -> None:
    world = World(answer(b'an', b'swer'))

    outcome, sink = await world.serve('unsafe')

    assert outcome == relay.Delivered(200)
    assert sink.data == b'answer'
    assert sink.finished
    assert world.loads.open_count == 0


async def test_failure_of_the_target_is_forwarded_unchanged() -> None:
    failure = relay.ResponseHead(
        500, (('Response-Signature', 's'),), signed=True
    )
    world = World(answer(b'no', head=failure))

    outcome, sink = await world.serve('unsafe')

    assert outcome == relay.Delivered(500)
    assert sink.head == failure


async def test_safe_request_is_tried_again_after_a_failure() -> None:
    failure = relay.ResponseHead(500, (), signed=True)
    world = World(answer(b'no', head=failure), answer(b'yes'))

    outcome, sink = await world.serve('safe')

    assert outcome == relay.Delivered(200)
    assert sink.data == b'yes'
    first, second = world.targets.calls
    assert first.target != second.target


async def test_last_failure_is_forwarded_once_attempts_are_used_up() -> None:
    failure = relay.ResponseHead(500, (), signed=True)
    world = World(*itertools.repeat(answer(b'no', head=failure), 2))

    outcome, _ = await world.serve('safe')

    assert outcome == relay.Delivered(500)


@pytest.mark.parametrize('route', ['unsafe', 'stream'])
async def test_request_that_may_have_run_is_not_sent_again(route: str) -> None:
    world = World(failing(relay.AnswerLostError('reset', broken=True)))

    outcome, _ = await world.serve(route)

    assert isinstance(outcome, relay.Failed)
    assert len(world.targets.calls) == 1


@pytest.mark.parametrize(
    'error', [relay.NotSentError('x'), relay.NotRunError('x')]
)
async def test_request_that_did_not_run_goes_to_another_target(
    error: Exception,
) -> None:
    world = World(failing(error), answer(b'yes'))

    outcome, _ = await world.serve('unsafe')

    assert outcome == relay.Delivered(200)


async def test_failed_connections_use_up_no_retries() -> None:
    gone = failing(relay.NotSentError('connection refused'))
    full = failing(relay.NotRunError('full'))
    world = World(gone, gone, full, answer(b'yes'), targets=5)

    outcome, _ = await world.serve('unsafe')

    assert outcome == relay.Delivered(200)


async def test_targets_without_a_connection_are_tried_a_few_times() -> None:
    gone = failing(relay.NotSentError('connection refused'))
    world = World(*itertools.repeat(gone, 6), targets=6)

    outcome, _ = await world.serve('unsafe')

    assert isinstance(outcome, relay.Refused)
    assert len(world.targets.calls) == 4


async def test_refusals_of_all_targets_end_as_not_run() -> None:
    full = failing(relay.NotRunError('full'))
    world = World(full, full, full)

    outcome, _ = await world.serve('unsafe')

    assert isinstance(outcome, relay.Refused)


async def test_refusal_after_a_lost_answer_does_not_say_not_run() -> None:
    lost = failing(relay.AnswerLostError('reset', broken=True))
    world = World(
        lost, *itertools.repeat(failing(relay.NotRunError('full')), 2)
    )

    outcome, _ = await world.serve('safe')

    assert isinstance(outcome, relay.Failed)


async def test_silent_target_times_out() -> None:
    world = World(silent)
    began = world.clock.now()

    outcome, _ = await world.serve('unsafe')

    assert outcome == relay.TimedOut()
    assert world.clock.now() - began < 1


async def test_success_without_signature_is_not_forwarded() -> None:
    unsigned = relay.ResponseHead(200, (), signed=False)
    world = World(answer(b'?', head=unsigned))

    outcome, sink = await world.serve('unsafe')

    assert isinstance(outcome, relay.Failed)
    assert sink.head is None


async def test_cut_response_is_not_forwarded() -> None:
    world = World(cut(b'half'))

    outcome, sink = await world.serve('unsafe')

    assert isinstance(outcome, relay.Failed)
    assert not sink.finished


async def test_cut_stream_continues_on_another_target() -> None:
    world = World(
        cut(EVENTS[0], EVENTS[1][:5]),
        answer(*EVENTS[1:]),
        engines=True,
    )
    prompt = relay.Prompt(10, 3, (relay.PromptPart('p', 10),))

    outcome, sink = await world.serve('resumable', prompt=prompt)

    assert outcome == relay.Delivered(200)
    assert sink.data == b''.join(EVENTS)
    assert world.targets.calls[1].resume_after == '1'


async def test_cut_stream_that_may_not_be_resumed_ends_cut() -> None:
    world = World(cut(EVENTS[0]))

    outcome, sink = await world.serve('stream')

    assert isinstance(outcome, relay.CutOff)
    assert not sink.finished


async def test_stream_that_trickles_bytes_continues_elsewhere() -> None:
    """A stalled engine sends a byte now and then, and never an event."""
    stalled = trickling(EVENTS[0], b'id: 2')
    world = World(stalled, answer(*EVENTS[1:]))
    world.relay = world.make_relay(QUICK)

    outcome, sink = await world.serve('resumable')

    assert outcome == relay.Delivered(200)
    assert sink.data == b''.join(EVENTS)


async def test_slow_stream_of_events_is_not_cut() -> None:
    """Each event comes just in time, the whole takes longer than a pause."""
    world = World(slow(*EVENTS))
    world.relay = world.make_relay(QUICK)

    outcome, sink = await world.serve('resumable')

    assert outcome == relay.Delivered(200)
    assert sink.data == b''.join(EVENTS)
    assert len(world.targets.calls) == 1


async def test_caller_that_disconnects_stops_the_request() -> None:
    world = World(silent)
    serving = asyncio.create_task(world.serve('unsafe'))
    await asyncio.sleep(0.05)
    serving.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await serving

    assert world.loads.open_count == 0
    last = json.loads(world.lines[-1])
    assert (last['event'], last['outcome']) == ('ended', 'CallerLeft')
    assert last['request'] == 'r1'


async def test_request_that_crashed_two_targets_is_refused() -> None:
    world = World(
        *itertools.repeat(failing(relay.AnswerLostError('x', broken=True)), 20)
    )
    world.targets.reachable = False

    outcomes = [(await world.serve('unsafe'))[0] for _ in range(20)]

    assert isinstance(outcomes[-1], relay.Refused)
    crashed = {call.target.key for call in world.targets.calls}
    assert len(crashed) == 2


async def test_lost_response_of_a_live_target_makes_no_suspect() -> None:
    lost = failing(relay.AnswerLostError('x', broken=True))
    world = World(lost, lost, answer(b'yes'))

    await world.serve('unsafe')
    await world.serve('unsafe')
    outcome, _ = await world.serve('unsafe')

    assert outcome == relay.Delivered(200)


async def test_started_request_is_counted_once() -> None:
    failure = relay.ResponseHead(500, (), signed=True)
    world = World(answer(b'no', head=failure), answer(b'yes'))

    await world.serve('safe')

    window = int(time.time() // 5)
    counts = world.usage.recent(window + 1)
    assert list(counts.values()) == [{'team': 1}]


async def test_target_that_leaves_during_prefill_gets_no_request() -> None:
    """A target starts to drain during the prefill of its prompt."""
    world = World(answer(*EVENTS), engines=True)
    prompt = relay.Prompt(10, 3, (relay.PromptPart('p', 10),))
    leaving = world.fleet.targets_by_identity

    async def leave(call: relay.TargetCall) -> relay.CacheHandle:
        chosen = world.targets.chosen
        world.fleet.replace(
            [
                dataclasses.replace(target, leaving=target.key == chosen)
                for target in tuple(leaving.values())
            ],
            world.clock.now(),
        )
        return relay.CacheHandle(call.target, 'kept', 10)

    world.targets.read_prompt = leave
    world.place_isolated()

    outcome, _ = await world.serve('resumable', prompt=prompt)

    assert outcome == relay.Delivered(200)
    call = world.targets.calls[0]
    assert call.target.key != world.targets.chosen
    assert call.fetch_from is not None


async def test_stream_ended_inside_an_event_continues_elsewhere() -> None:
    """A stream without framing ends with its connection, also if cut."""
    world = World(
        answer(EVENTS[0], CUT_EVENT),
        answer(*EVENTS[1:]),
        engines=True,
    )
    prompt = relay.Prompt(10, 3, (relay.PromptPart('p', 10),))

    outcome, sink = await world.serve('resumable', prompt=prompt)

    assert outcome == relay.Delivered(200)
    assert sink.data == b''.join(EVENTS)
    assert world.targets.calls[1].resume_after == '1'


async def test_stream_that_ends_inside_an_event_ends_cut() -> None:
    world = World(answer(EVENTS[0], CUT_EVENT))

    outcome, sink = await world.serve('stream')

    assert isinstance(outcome, relay.CutOff)
    assert not sink.finished


@pytest.mark.parametrize('route', ['stream', 'resumable'])
async def test_event_without_end_is_given_up(route: str) -> None:
    """A server in trouble sends bytes until its caller closes."""
    endless = itertools.chain(EVENTS[:1], itertools.repeat(BLOCK))
    world = World(lambda _: FakeAnswer(OK_HEAD, endless), targets=1)

    outcome, sink = await world.serve(route)

    assert isinstance(outcome, relay.CutOff)
    assert not sink.finished
    assert world.targets.answers[0].closed
    assert len(sink.data) < MOST_BYTES
