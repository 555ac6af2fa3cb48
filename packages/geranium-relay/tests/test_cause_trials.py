"""One request at a time shows whether what was taken for a cause is sound."""

import asyncio
import itertools
from collections.abc import AsyncIterator

import geranium_relay as relay
import pytest
from geranium_policy.cause_trials import CauseTrialSettings
from geranium_policy.suspects import request_fingerprint

from .test_peer_forwarding import Taker, refuse, run_hosts
from .world import EVENTS, OK_HEAD, FakeAnswer, World, answer, cut, failing

CRASHES = 3
MAX_WAIT_S = 2
DUE_S = CauseTrialSettings().first_pause_s + 0.5
PARTS = tuple(f'part-{number}' for number in range(10))


class HeldAnswer(FakeAnswer):
    """Is whole once an event is set."""

    def __init__(self, begun: asyncio.Event, ending: asyncio.Event) -> None:
        super().__init__(OK_HEAD, EVENTS)
        self._begun = begun
        self._ending = ending

    async def chunks(self) -> AsyncIterator[bytes]:
        self._begun.set()
        await self._ending.wait()
        async for chunk in super().chunks():
            yield chunk


def blame(world: World, part: str) -> None:
    """Let targets have crashed under a part, so long ago that a trial is due."""
    fingerprint = request_fingerprint('part service', part.encode())
    crashed_at = world.clock.now() - DUE_S
    for number in range(CRASHES):
        crash_id = f'{part}-{number}'
        world.suspects.record_crash((fingerprint,), crash_id, crashed_at)


async def serve(
    world: World, number: int, part: str, route: str = 'stream'
) -> relay.Outcome:
    outcome, _ = await world.serve(
        route,
        identity=f'r{number}',
        body=b'%d' % number,
        prompt=relay.Prompt(
            20,
            3,
            (
                relay.PromptPart(part, 10),
                relay.PromptPart(f'own-{number}', 10),
            ),
        ),
    )
    return outcome


async def test_part_that_one_request_shows_sound_serves_at_both_hosts() -> None:
    world, taker = World(), Taker('h2')
    for host in (world, taker.world):
        host.targets.add_scripts(*itertools.repeat(answer(*EVENTS), 40))
        for part in PARTS:
            blame(host, part)

    async with run_hosts(world, taker):
        for number, part in enumerate(PARTS):
            assert await serve(world, number, part) == relay.Delivered(200)
    taken = len(taker.taken)
    assert 0 < taken < len(PARTS)

    for sender, receiver in ((world, taker.world), (taker.world, world)):
        now = sender.clock.now()
        _, crashes = sender.outbox.take(relay.Audience.NEAR, now)
        receiver.suspects.apply(crashes, now)
    for number, part in enumerate(PARTS):
        for host in (world, taker.world):
            served = await serve(host, 100 + number, part)
            assert served == relay.Delivered(200)
    assert len(taker.taken) == taken


async def test_other_requests_are_refused_while_one_is_tried() -> None:
    world = World()
    blame(world, 'part')
    begun, ending = asyncio.Event(), asyncio.Event()

    world.targets.add_scripts(lambda _call: HeldAnswer(begun, ending))
    tried = asyncio.create_task(serve(world, 1, 'part'))
    async with asyncio.timeout(MAX_WAIT_S):
        await begun.wait()
    refused = [await serve(world, number, 'part') for number in range(2, 6)]
    ending.set()

    assert await tried == relay.Delivered(200)
    assert {type(outcome) for outcome in refused} == {relay.Refused}
    assert len(world.targets.calls) == 1
    world.targets.add_scripts(answer(*EVENTS))
    assert await serve(world, 9, 'part') == relay.Delivered(200)


@pytest.mark.parametrize('route', ['stream', 'resumable'])
async def test_trial_that_crashes_its_target_is_not_sent_again(
    route: str,
) -> None:
    world = World()
    blame(world, 'part')
    world.targets.reachable = False
    world.targets.add_scripts(cut())
    world.targets.add_scripts(*itertools.repeat(answer(*EVENTS), 2))

    failed = await serve(world, 1, 'part', route)
    refused = await serve(world, 2, 'part', route)

    assert isinstance(failed, relay.Failed)
    assert isinstance(refused, relay.Refused)
    assert len(world.targets.calls) == 1


async def test_trial_goes_on_after_a_target_that_it_did_not_reach() -> None:
    world = World()
    blame(world, 'part')
    world.targets.add_scripts(
        failing(relay.NotSentError('refused')), answer(*EVENTS)
    )

    assert await serve(world, 1, 'part') == relay.Delivered(200)


async def test_trial_is_not_prefilled_on_a_second_target() -> None:
    world = World(engines=True)
    blame(world, 'part')
    world.place_isolated()
    world.targets.add_scripts(answer(*EVENTS))
    read = []

    async def read_prompt(call: relay.TargetCall) -> relay.CacheHandle:
        read.append(call)
        return relay.CacheHandle(call.target, 'h', 10)

    world.targets.read_prompt = read_prompt

    assert await serve(world, 1, 'part') == relay.Delivered(200)
    assert not read


async def test_requests_that_must_wait_are_not_passed_on() -> None:
    world, taker = World(), Taker('h2', refuse)
    async with run_hosts(world, taker):
        for part in PARTS:
            blame(world, part)
            world.targets.add_scripts(cut())
            for number in range(10):
                await serve(world, number, part)

    assert 0 < len(taker.taken) <= len(PARTS)


async def test_refused_callers_are_told_to_return_when_a_trial_is_due() -> None:
    world = World()
    fingerprint = request_fingerprint('part service', b'part')
    now = world.clock.now()
    for number in range(CRASHES):
        world.suspects.record_crash((fingerprint,), f't{number}', now)

    outcome = await serve(world, 1, 'part')

    assert isinstance(outcome, relay.Refused)
    assert outcome.retry_after_s == pytest.approx(
        CauseTrialSettings().first_pause_s, abs=0.5
    )
