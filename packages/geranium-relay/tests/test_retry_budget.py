"""All calls beyond the first of a request stay within the retry budget."""

import asyncio
import itertools
from collections.abc import Callable

import geranium_relay as relay
import pytest
from geranium_policy.retry_share import RetryShareSettings

from .test_peer_forwarding import Taker, make_cut_world, run_hosts
from .world import (
    EVENTS,
    OK_HEAD,
    FakeAnswer,
    World,
    answer,
    failing,
    silent,
)

REQUESTS = 60
SMALL_BUDGET = RetryShareSettings(0.2, 8, 10)
NO_BUDGET = RetryShareSettings(0, 0, 10)
PROMPT_TOKENS = 4000
FULL = relay.NotRunError('status 503')
QUICK = relay.RunSettings(
    stream_silence_s=0.1, max_silent_gaps=0, call_timeout_factor=1
)
SILENCE_S = 0.3  # longer than the timeouts of QUICK


class LateAnswer(FakeAnswer):
    """Is silent for a while before its last chunk."""

    async def chunks(self):
        *first, last = self._chunks
        for chunk in first:
            yield chunk
        await asyncio.sleep(SILENCE_S)
        yield last


def late(*chunks: bytes) -> Callable[[relay.TargetCall], FakeAnswer]:
    return lambda _call: LateAnswer(OK_HEAD, chunks)


async def late_head(world: World, call: relay.TargetCall) -> FakeAnswer:
    world.targets.calls.append(call)
    await asyncio.sleep(SILENCE_S)
    return FakeAnswer(OK_HEAD, EVENTS)


def own_prompt(number: int) -> relay.Prompt:
    part = relay.PromptPart(f'p{number}', PROMPT_TOKENS)
    return relay.Prompt(PROMPT_TOKENS, 3, (part,))


def repeated(calls: list[relay.TargetCall]) -> int:
    """Return the number of calls beyond the first of each request."""
    identities = [call.job.arrival.identity for call in calls]
    return len(identities) - len(set(identities))


def extra_calls(world: World) -> int:
    """Return the calls beyond the first of each request.

    The first prefill call of a request that is accepted is none of them.
    """
    prefills = world.targets.prefill_calls
    if world.targets.prefill_error is None:
        return repeated(world.targets.calls) + repeated(prefills)
    return repeated(world.targets.calls) + len(prefills)


async def test_refused_prefill_calls_stay_within_the_retry_budget() -> None:
    """All prefilling engines are full for the length of a window."""
    world = World(
        *itertools.repeat(answer(*EVENTS), REQUESTS),
        engines=True,
        retry_budget=SMALL_BUDGET,
    )
    world.separate_prefill()
    world.targets.prefill_error = FULL

    for number in range(REQUESTS):
        outcome, _ = await world.serve(
            'resumable', identity=f'r{number}', prompt=own_prompt(number)
        )
        assert outcome == relay.Delivered(200)

    assert world.targets.prefill_calls
    assert extra_calls(world) <= 0.2 * REQUESTS + 8


async def test_prefill_calls_of_repeated_runs_stay_within_the_budget() -> None:
    """All generating engines refuse once what was prefilled for them."""
    scripts = (failing(FULL), answer(*EVENTS))
    world = World(
        *itertools.chain.from_iterable(itertools.repeat(scripts, REQUESTS)),
        engines=True,
        retry_budget=SMALL_BUDGET,
    )
    world.separate_prefill()

    for number in range(REQUESTS):
        # Without a repeat, the next request meets the other script.
        await world.serve(
            'resumable', identity=f'r{number}', prompt=own_prompt(number)
        )

    assert world.targets.prefill_calls
    assert extra_calls(world) <= 0.2 * REQUESTS + 8


async def test_refused_sends_of_another_host_stay_within_the_budget() -> None:
    """Targets refuse what other hosts send for a host that is cut."""
    takers = [Taker(name) for name in ('h2', 'h3', 'h4')]
    for taker in takers:
        taker.world.targets.add_scripts(
            failing(FULL), *itertools.repeat(failing(relay.NotSentError('')), 9)
        )
    world = make_cut_world()
    async with run_hosts(world, *takers):
        outcome, _ = await world.serve('unsafe')

    assert isinstance(outcome, relay.Refused)
    taken = itertools.chain.from_iterable(host.taken for host in takers)
    sends = sorted(request.progress.sends for request in taken)
    assert sends == [0, 1, 2]


@pytest.mark.parametrize('route', ['safe', 'resumable'])
@pytest.mark.parametrize(
    'changes',
    [{'retry_budget': NO_BUDGET}, {'targets': 1}],
    ids=['no_repeat_left', 'no_other_target'],
)
async def test_silent_target_without_an_alternative_is_not_given_up(
    route: str, changes: dict
) -> None:
    """A sound target may be silent for a moment, for all hosts at once."""
    world = World(**changes)
    world.targets.send = lambda call: late_head(world, call)
    world.relay = world.make_relay(QUICK)

    outcome, sink = await world.serve(route)

    assert outcome == relay.Delivered(200)
    assert sink.data == b''.join(EVENTS)
    assert len(world.targets.calls) == 1


async def test_silent_stream_without_an_alternative_is_not_cut() -> None:
    world = World(late(*EVENTS), retry_budget=NO_BUDGET)
    world.relay = world.make_relay(QUICK)

    outcome, sink = await world.serve('resumable')

    assert outcome == relay.Delivered(200)
    assert sink.data == b''.join(EVENTS)


async def test_silent_target_is_given_up_for_an_alternative() -> None:
    world = World(silent, answer(*EVENTS))
    world.relay = world.make_relay(QUICK)

    outcome, sink = await world.serve('resumable')

    assert outcome == relay.Delivered(200)
    assert sink.data == b''.join(EVENTS)
    first, second = world.targets.calls
    assert first.target != second.target


async def test_quiet_host_of_many_has_its_prompts_prefilled() -> None:
    """The share of one of 195 hosts; no engine has refused anything."""
    world = World(
        *itertools.repeat(answer(*EVENTS), 4),
        engines=True,
        retry_budget=RetryShareSettings(0.2, 56 / 195, 10),
    )
    world.separate_prefill()

    for number in range(4):
        await world.serve(
            'resumable', identity=f'r{number}', prompt=own_prompt(number)
        )

    assert len(world.targets.prefill_calls) == 4
