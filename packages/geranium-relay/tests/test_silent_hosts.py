"""A silent host that works on a request is given up only for another one."""

import asyncio
import dataclasses

import geranium_relay as relay
import pytest
from geranium_relay.peer_forwarding import peer_server
from geranium_relay.update_intervals import UpdateIntervals

from .test_peer_forwarding import Taker, make_cut_world, prefer, run_hosts
from .test_retry_budget import own_prompt
from .world import EVENTS, World, answer

SILENCE_S = 1.9  # longer than PeerClientSettings.silence_s
TIMEOUT_S = 5


async def answer_late(
    _request: relay.ForwardedRequest, sink: relay.ResponseSink
) -> relay.Outcome:
    await asyncio.sleep(SILENCE_S)
    await sink.start(relay.ResponseHead(200, (), signed=True), 1)
    await sink.write(b'a')
    await sink.finish()
    return relay.Delivered(200)


async def serve_long(world: World, route: str) -> relay.Outcome:
    """Serve a request whose route has time for a silence."""
    known = world.view.catalogue
    routes = tuple(
        dataclasses.replace(one, timeout_s=TIMEOUT_S) for one in known.routes
    )
    changed = dataclasses.replace(
        known, version=known.version + 1, routes=routes
    )
    world.view.accept(changed, world.clock.now())
    deadline = world.clock.now() + TIMEOUT_S
    outcome, _ = await world.serve(route, caller_deadline=deadline)
    return outcome


@pytest.fixture
def paused_hosts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let hosts send nothing while they work, like paused ones.

    All stay known, though the tests send no updates.
    """
    monkeypatch.setattr(peer_server, 'ALIVE_INTERVAL_S', 60)
    monkeypatch.setattr(UpdateIntervals, 'max_silence_s', lambda _: 60)


@pytest.mark.usefixtures('paused_hosts')
@pytest.mark.parametrize('route', ['unsafe', 'safe'])
async def test_silent_host_without_an_alternative_is_not_given_up(
    route: str,
) -> None:
    world, taker = make_cut_world(), Taker('h2', answer_late)
    async with run_hosts(world, taker):
        outcome = await serve_long(world, route)

    assert outcome == relay.Delivered(200)


@pytest.mark.usefixtures('paused_hosts')
async def test_silent_host_is_given_up_for_another_one() -> None:
    world, paused, other = (
        make_cut_world(),
        Taker('h2', answer_late),
        Taker('h3'),
    )
    other.world.targets.add_scripts(answer(*EVENTS))
    async with run_hosts(world, paused, other):
        prefer(world, paused)
        outcome = await serve_long(world, 'safe')

    assert outcome == relay.Delivered(200)
    assert other.taken


async def test_prefill_at_a_host_that_is_lost_counts_at_the_next() -> None:
    """The lost host's engine may have accepted the free prefill call."""

    async def vanish(
        _request: relay.ForwardedRequest, _sink: relay.ResponseSink
    ) -> relay.Outcome:
        raise ConnectionResetError

    world = make_cut_world()
    lost, other = Taker('h2', vanish), Taker('h3')
    other.world.targets.add_scripts(answer(b'a'))
    async with run_hosts(world, lost, other):
        prefer(world, lost)
        await world.serve('safe', prompt=own_prompt(1))

    assert lost.taken
    assert len(other.taken) == 1
    assert other.taken[0].progress.prefilled
