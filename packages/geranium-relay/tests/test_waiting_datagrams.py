"""Updates that waited in the socket of a suspended process are not new."""

import asyncio
import dataclasses
import socket
from collections.abc import AsyncIterator

import geranium_relay as relay
import pytest
from geranium_relay.datagrams import DatagramEndpoint
from geranium_relay.datagrams.endpoint import MAX_READ

from .fleet import Clock, Fleet, Node
from .test_peer_updates import CATALOGUE_AGE_S, OWN, TARGETS_AGE_S, make_update
from .test_topology import ticks

IP = '127.0.0.1'
SUSPENDED_S = 6.4
WAIT_S = 20


class Inbox:
    """Notes each datagram, and since when it may have been waiting."""

    def __init__(self, clock: Clock) -> None:
        log = relay.DecisionLog(relay.LogSettings(), print, clock.now)
        self.endpoint = DatagramEndpoint(self, clock, log)
        self.waiting_since_by_data: dict[bytes, float] = {}

    def datagram_received(
        self, data: bytes, addr: tuple[str | int, int]
    ) -> None:
        self.waiting_since_by_data[data] = self.endpoint.waiting_since

    async def wait_for(self, count: int) -> None:
        async with asyncio.timeout(WAIT_S):
            async for _ in ticks():
                if len(self.waiting_since_by_data) >= count:
                    return


async def test_all_datagrams_of_a_suspension_count_from_its_beginning(
    unused_udp_port: int,
) -> None:
    clock = Clock()
    inbox = Inbox(clock)
    inbox.endpoint.open((IP, unused_udp_port))
    suspended_at = clock.now()
    queued = 2 * MAX_READ
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(queued):
            sender.sendto(b'%d' % number, (IP, unused_udp_port))
        clock.instant += SUSPENDED_S
        await inbox.wait_for(queued)
        assert set(inbox.waiting_since_by_data.values()) == {suspended_at}

        inbox.endpoint.read()
        sender.sendto(b'new', (IP, unused_udp_port))
        await inbox.wait_for(queued + 1)
    inbox.endpoint.close()

    assert inbox.waiting_since_by_data[b'new'] == suspended_at + SUSPENDED_S


@pytest.fixture
async def pair(unused_udp_port_factory) -> AsyncIterator[tuple[Node, Node]]:
    """Return two hosts that exchange updates over loopback."""
    fleet = Fleet(2)
    first, second = fleet.nodes
    for node in (first, second):
        address = f'{IP}:{unused_udp_port_factory()}'
        node.peers.own = dataclasses.replace(
            node.peers.own, address=address, incarnation=2
        )
    first.peers.add(second.peers.own)
    second.peers.add(first.peers.own)
    running = [
        asyncio.create_task(host.exchange.run()) for host in (first, second)
    ]
    await asyncio.sleep(0)
    yield first, second
    for task in running:
        task.cancel()
    await asyncio.wait(running)


async def test_host_that_wakes_up_takes_no_old_update_for_a_sign_of_life(
    pair: tuple[Node, Node],
) -> None:
    """A suspended host admitted keys that had been withdrawn meanwhile."""
    first, second = pair
    heard = len(second.heard)
    first.exchange.broadcast()
    suspended_at = second.exchange._clock.now()
    second.exchange._clock.instant += SUSPENDED_S
    async with asyncio.timeout(WAIT_S):
        async for _ in ticks():
            if len(second.heard) > heard:
                break

    assert second.heard[heard].waiting_since <= suspended_at
    assert not second.peers.usable()


def test_store_is_confirmed_as_of_the_time_before_the_suspension() -> None:
    clock = Clock()
    log = relay.DecisionLog(relay.LogSettings(), print, clock.now)
    shared = relay.SharedReads(
        relay.SharedReadSettings(margin_s=0),
        relay.Peers(relay.PeerSettings(), OWN, clock, log),
        lambda: relay.StoreState(7, 0, 99, 0),
        clock.now,
    )
    suspended_at = clock.now()
    clock.instant += SUSPENDED_S

    shared.handle_update(make_update(waiting_since=suspended_at))

    assert shared.catalogue_at() == suspended_at - CATALOGUE_AGE_S
    assert shared.targets_at() == suspended_at - TARGETS_AGE_S


def test_clock_is_not_set_back_by_updates_that_waited() -> None:
    clock = Clock()
    log = relay.DecisionLog(relay.LogSettings(), print, clock.now)
    peers = relay.Peers(relay.PeerSettings(), OWN, clock, log)
    for host in ('h1', 'h3', 'h4'):
        late = make_update(host, unix_s=1000 - SUSPENDED_S)
        waited = dataclasses.replace(
            late, waiting_since=clock.now() - SUSPENDED_S
        )
        peers.handle_update(waited, 1000)

    assert not peers.take_clock_correction_s()
