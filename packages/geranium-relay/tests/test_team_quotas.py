"""Hosts charge requests to the quotas of teams before they send them."""

import asyncio
import contextlib
import dataclasses
import random
import socket
from collections.abc import AsyncIterator

import geranium_relay as relay
import pytest
from geranium_policy.team_quotas import (
    Delegation,
    DelegationHeard,
    QuotaAnswer,
    QuotaAsk,
    QuotaLimit,
    QuotaSettings,
)
from geranium_relay.team_quotas import MalformedQuotaMessageError, codec

from . import build_samples as samples
from .fleet import Clock
from .world import FakeSink, World, answer, failing, make_peers

TOKENS = QuotaLimit(100, 100, in_tokens=True, plain_tokens=60)
BUSY = failing(relay.NotRunError('busy'))
MESSAGES = (
    Delegation(0.25, 7, 12.5),
    DelegationHeard(3.5),
    QuotaAsk(9, 2**63, (1, 17_000) * 16, 40.5),
    QuotaAnswer(9, 17_041.5, 0.75, 0.1, 0.2),
)


def make_log(world: World) -> relay.DecisionLog:
    now = world.clock.now
    return relay.DecisionLog(relay.LogSettings(), world.lines.append, now)


def make_quotas(
    world: World,
    peers: relay.Peers,
    clock: relay.BootClock,
    offset: int = 0,
) -> relay.TeamQuotas:
    quotas = relay.TeamQuotas(
        QuotaSettings(),
        relay.QuotaSources(
            world.view, peers, lambda: True, lambda: True, random.Random(1)
        ),
        offset,
        clock.now,
        relay.Telemetry(),
        make_log(world),
    )
    world.use_quotas(quotas)
    return quotas


@contextlib.asynccontextmanager
async def running(*quotas: relay.TeamQuotas) -> AsyncIterator[None]:
    tasks = [asyncio.create_task(one.run()) for one in quotas]
    yield
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


@contextlib.asynccontextmanager
async def limited_world(
    *scripts, quota: QuotaLimit = TOKENS
) -> AsyncIterator[tuple[World, Clock]]:
    """Run a host alone, whose team has its whole burst."""
    world = World(*scripts)
    world.limit_team(quota)
    clock = Clock()
    quotas = make_quotas(world, make_peers(clock), clock)
    async with running(quotas):
        await asyncio.sleep(0.05)
        clock.instant += 2
        await wait_for_share(quotas, 1)
        clock.instant += 10
        yield world, clock


def forwarded_request(world: World) -> relay.ForwardedRequest:
    now = world.clock.now()
    arrival = dataclasses.replace(
        samples.REQUEST.arrival,
        path='/unsafe/x',
        arrived_at=now,
        caller_deadline=now + 2,
        prompt=None,
        tokens=70,
    )
    return dataclasses.replace(
        samples.REQUEST,
        arrival=arrival,
        service='service',
        progress=relay.RunProgress(),
    )


async def wait_for_share(quotas: relay.TeamQuotas, share: float) -> None:
    for _ in range(1000):
        if quotas.member.broker.share >= share:
            return
        await asyncio.sleep(0.02)
    raise AssertionError('no share')


@pytest.mark.parametrize('message', MESSAGES)
def test_messages_are_decoded_as_encoded(message) -> None:
    """A field is lost, or a datagram is larger than one packet."""
    datagram = codec.QuotaDatagram(2**64 - 1, 5, message)
    encoded = codec.encode_datagram(datagram)

    assert codec.decode_datagram(encoded) == datagram
    assert len(encoded) <= codec.MAX_DATAGRAM_BYTES


@pytest.mark.parametrize(
    'encoded',
    (
        b'',
        b'\xff' * 40,
        bytes(codec.MAX_DATAGRAM_BYTES + 8),
        codec.encode_datagram(codec.QuotaDatagram(1, 1, Delegation(2, 1, 1))),
        codec.encode_datagram(
            codec.QuotaDatagram(1, 1, QuotaAnswer(1, float('nan'), 0))
        ),
    ),
)
def test_unreadable_datagram_is_an_error(encoded) -> None:
    """A datagram of another program ends the exchange or adds tokens."""
    with pytest.raises(MalformedQuotaMessageError):
        codec.decode_datagram(encoded)


async def test_request_over_the_quota_is_not_sent() -> None:
    """A request runs before its tokens are taken."""
    async with limited_world(answer(b'a'), answer(b'b')) as (world, _):
        first, _ = await world.serve('unsafe', tokens=70)
        second, _ = await world.serve('unsafe', tokens=70)

    assert isinstance(first, relay.Delivered)
    assert isinstance(second, relay.OverQuota)
    # 40 tokens are missing, at 100 a second.
    assert round(second.retry_after_s * 1000) >= 400
    assert len(world.targets.calls) == 1
    assert any('quota_refused' in line for line in world.lines)


async def test_request_without_a_size_counts_as_plain() -> None:
    """A team evades its limit by leaving out the sizes."""
    async with limited_world(answer(b'a'), answer(b'b')) as (world, _):
        await world.serve('unsafe')
        second, _ = await world.serve('unsafe')

    assert isinstance(second, relay.OverQuota)


async def test_tokens_of_a_refused_request_return() -> None:
    """Requests that no target takes use up the quota of their team."""
    scripts = (BUSY, BUSY, BUSY, answer(b'a'))
    async with limited_world(*scripts) as (world, _):
        refused, _ = await world.serve('unsafe', tokens=70)
        delivered, _ = await world.serve('unsafe', tokens=70)

    assert isinstance(refused, relay.Refused)
    assert isinstance(delivered, relay.Delivered)


async def test_request_of_another_host_is_not_charged_again() -> None:
    """A request is charged at both hosts, or refused after it was passed on."""
    async with limited_world(answer(b'a'), answer(b'b')) as (world, _):
        for _ in range(2):
            outcome = await world.relay.serve_forwarded(
                forwarded_request(world), FakeSink()
            )
            assert isinstance(outcome, relay.Delivered)


@pytest.mark.parametrize(
    ('quota', 'outcome'),
    (
        (TOKENS, relay.MalformedSize),
        (QuotaLimit(5, 5), relay.Delivered),
        (None, relay.Delivered),
    ),
)
async def test_malformed_size_counts_only_for_limits_in_tokens(
    quota, outcome
) -> None:
    """Callers without such a limit are refused for a header of no use."""
    world = World(answer(b'a'))
    world.limit_team(quota)
    clock = Clock()
    quotas = make_quotas(world, make_peers(clock), clock)
    async with running(quotas):
        await asyncio.sleep(0.05)
        clock.instant += 2
        if quota is not None:
            await wait_for_share(quotas, 1)
        clock.instant += 10
        ended, _ = await world.serve('unsafe', malformed_size=True)

    assert isinstance(ended, outcome)


async def test_host_spends_the_shares_of_others() -> None:
    """A team that uses one host only gets the share of that host."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(('127.0.5.1', 0))
        port = probe.getsockname()[1] - 1
    identities = [
        relay.PeerIdentity(
            f'h{number}', 'a', f'h{number}:1', f'127.0.5.{number}:{port}', 1
        )
        for number in (1, 2)
    ]
    worlds, hosts = [], []
    for own, other in (identities, reversed(identities)):
        world = World(*(answer(b'a') for _ in range(9)))
        world.limit_team(QuotaLimit(6, 6))
        peers = relay.Peers(
            relay.PeerSettings(missed_updates=100),
            own,
            world.clock,
            make_log(world),
        )
        update = dataclasses.replace(
            samples.MINIMAL, sender=other, ready=True, leaving=False
        )
        peers.handle_update(update, 0)
        worlds.append(world)
        hosts.append(make_quotas(world, peers, world.clock, 1))
    async with running(*hosts):
        await wait_for_share(hosts[0], 1)
        await asyncio.sleep(1)
        served = [await worlds[1].serve('safe') for _ in range(9)]

    kinds = [type(outcome) for outcome, _ in served]
    assert hosts[1].member.choice.broker == 'h1'
    assert kinds.count(relay.Delivered) > 4
    assert relay.OverQuota in kinds


async def test_unanswered_asks_end_in_a_refusal() -> None:
    """A request waits for a dead broker until its deadline."""
    world = World()
    world.limit_team(QuotaLimit(6, 6))
    own = relay.PeerIdentity('h2', 'a', 'h2:1', '127.0.5.2:9', 1)
    dead = relay.PeerIdentity('h1', 'a', 'h1:1', '127.0.5.1:9', 1)
    peers = relay.Peers(relay.PeerSettings(), own, world.clock, make_log(world))
    update = dataclasses.replace(
        samples.MINIMAL, sender=dead, ready=True, leaving=False
    )
    peers.handle_update(update, 0)
    quotas = make_quotas(world, peers, world.clock, 40_000)
    async with running(quotas):
        await asyncio.sleep(0.05)
        before = world.clock.now()
        outcome, _ = await world.serve('safe')
        took_s = world.clock.now() - before

    assert quotas.member.choice.broker == 'h1'
    assert isinstance(outcome, relay.OverQuota)
    assert took_s < 1
    assert not world.targets.calls


async def test_team_without_a_limit_opens_no_socket() -> None:
    """Deployments without quotas get messages that they didn't have."""
    world = World(answer(b'a'))
    own = relay.PeerIdentity('h2', 'a', 'h2:1', '127.0.5.2:9', 1)
    peers = relay.Peers(relay.PeerSettings(), own, world.clock, make_log(world))
    # Port 4 of this host can't be listened on without rights.
    quotas = make_quotas(world, peers, world.clock, -5)
    async with running(quotas):
        await asyncio.sleep(0.05)
        outcome, _ = await world.serve('safe')

    assert isinstance(outcome, relay.Delivered)
    assert not any('quota' in line for line in world.lines)
