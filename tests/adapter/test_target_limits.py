"""Targets that name how many requests a second they take from all hosts."""

import dataclasses

import geranium_relay as relay
import pytest
from aiohttp import web
from geranium_platform_standins import StandinTarget
from geranium_relay.peer_updates import name_hash

from .test_feeds import FeedHarness, make_update
from .waits import wait_for

LATER_REQUESTS = 8
SLOW_LIMIT = '0.001'  # the next request may follow after a quarter of an hour


async def post(world):
    headers = world.headers()
    async with world.caller.post(world.url('/safe/x'), headers=headers) as got:
        await got.read()
        return got


class NamedLimit:
    """Responds with a limit that a test may change; ``None`` is none."""

    def __init__(self, text: str | None) -> None:
        self.text = text

    async def respond(self, _request: web.Request) -> web.Response:
        headers = {'Response-Signature': 's'}
        if self.text is not None:
            headers['Server-Limit'] = self.text
        return web.Response(text='whole', headers=headers)


@pytest.fixture
def limit() -> NamedLimit:
    return NamedLimit(SLOW_LIMIT)


@pytest.fixture
def target(limit: NamedLimit) -> StandinTarget:
    return StandinTarget(limit.respond)


async def test_target_gets_no_more_requests_than_the_limit_it_named(
    world,
) -> None:
    first = await post(world)
    assert first.status == 200

    for _ in range(LATER_REQUESTS):
        assert (await post(world)).status == 503

    assert len(world.target.requests) == 1


@pytest.mark.parametrize('text', ['', 'soon', '-1', 'nan', 'inf'])
async def test_unreadable_limit_does_not_hold_requests_back(
    world, limit: NamedLimit, text: str
) -> None:
    limit.text = text
    for _ in range(LATER_REQUESTS):
        assert (await post(world)).status == 200


async def test_target_that_names_no_limit_any_more_is_used_as_before(
    world, limit: NamedLimit
) -> None:
    limit.text = '20'
    assert (await post(world)).status == 200
    limits = world.host.state.notices.rate_limits
    assert limits.limited_count == 1
    limit.text = None

    async def is_lifted() -> bool:
        await post(world)
        return limits.limited_count == 0

    await wait_for(is_lifted)
    for _ in range(LATER_REQUESTS):
        assert (await post(world)).status == 200


def test_cut_host_has_no_share_of_a_limit() -> None:
    """All hosts leave it out: it sends nothing to the target."""
    harness = FeedHarness()
    state = harness.state
    target = next(iter(harness.fleet.targets_by_identity.values()))
    notice = relay.RateLimitNotice(1, state.clock.now())
    state.notices.rate_limits.record(target.key, notice)
    peer = relay.PeerIdentity('b', target.zone, 'b:1', 'b:2', 1)
    update = make_update(peer, relay.AdvertisedStoreState(1, 0, 0, 0))

    state.peers.handle_update(
        dataclasses.replace(update, unreached=(name_hash(target.service),)),
        1000,
    )
    assert not state.notices.rate_limits.holders(target.key)

    state.peers.handle_update(update, 1001)
    state.set_serving_check(lambda _service: False)
    assert state.notices.rate_limits.holders(target.key) == {'b'}
    assert state.notices.rate_limits.permit_at(target.key) is None
