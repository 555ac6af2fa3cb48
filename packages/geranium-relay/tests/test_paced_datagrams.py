"""Updates to other hosts must not hold the link of a weak host.

Load pattern: 20 engines crash at once, and a host with 10 Mbit/s that has lost
its aggregators tells 152 hosts of 300 crashes, 2.3 MB. Its calls to targets, and
their ends, waited 2 s behind them. Or it has become the aggregator of a zone of
39 hosts, whose reports of 30 kB are due 3.2 times a second: 29 Mbit/s.
"""

import asyncio
import contextlib
import dataclasses
import socket
from collections.abc import AsyncIterator, Callable, Iterator

import geranium_relay as relay
import pytest
from geranium_policy.suspects import CrashNotice
from geranium_relay.datagrams import (
    DatagramEndpoint,
    PaceSettings,
    SendPace,
)
from geranium_relay.zone_reports import HostReport, ZoneReport

from .fleet import Clock, Fleet
from .test_peer_updates import make_update

IP = '127.0.0.1'
REPORT_BYTES = 30_000
HOSTS = 38
WEAK = PaceSettings(link_mbps=10)
LINK_BYTES_PER_S = 1_250_000
CRASHES = 300
ALL_HOSTS = 152


def test_reports_of_a_zone_leave_half_of_a_weak_link() -> None:
    clock = Clock()
    pace = SendPace(WEAK, clock.now)
    began_at = clock.now()
    for _ in range(3 * HOSTS):
        clock.instant += pace.wait_s()
        assert pace.take(REPORT_BYTES)

    took_s = clock.now() - began_at
    # What leaves at once, and the last one, take their share afterwards.
    busy_s = (3 * HOSTS - 1) * REPORT_BYTES / LINK_BYTES_PER_S
    paced_s = busy_s - WEAK.burst_s
    assert took_s >= paced_s / WEAK.share


def test_link_is_held_for_no_longer_than_a_burst() -> None:
    clock = Clock()
    pace = SendPace(WEAK, clock.now)
    sent = 0
    while pace.take(REPORT_BYTES):
        sent += 1
    held_s = (sent - 1) * REPORT_BYTES / LINK_BYTES_PER_S

    assert sent
    assert held_s <= WEAK.burst_s


def test_unknown_link_paces_nothing() -> None:
    pace = SendPace(PaceSettings(), Clock().now)

    assert all(pace.take(REPORT_BYTES) for _ in range(1000))


class Outbox:
    """An endpoint, and a socket that gets what it sends."""

    def __init__(self, port: int) -> None:
        clock = relay.BootClock()
        log = relay.DecisionLog(relay.LogSettings(), print, clock.now)
        self.endpoint = DatagramEndpoint(self, clock, log, WEAK)
        self.endpoint.open((IP, port))
        self.inbox = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.inbox.setblocking(False)
        self.inbox.bind((IP, 0))

    def datagram_received(
        self, data: bytes, addr: tuple[str | int, int]
    ) -> None:
        """Get nothing."""

    @property
    def address(self) -> str:
        """The address of the inbox."""
        ip, port = self.inbox.getsockname()
        return f'{ip}:{port}'

    def received(self) -> Iterator[bytes]:
        """Yield the datagrams that have arrived."""
        with contextlib.suppress(BlockingIOError):
            for _ in range(ALL_HOSTS):
                yield self.inbox.recv(65536)

    def close(self) -> None:
        """Close both sockets."""
        self.endpoint.close()
        self.inbox.close()

    def send(self, data: bytes) -> None:
        """Send a datagram to the inbox."""
        self.endpoint.send_all(
            lambda _waited_s: data, [self.inbox.getsockname()]
        )

    async def receive(self) -> bytes:
        """Return the next datagram."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(20):
            return await loop.sock_recv(self.inbox, 65536)


@pytest.fixture
async def outbox(unused_udp_port: int) -> AsyncIterator[Outbox]:
    opened = Outbox(unused_udp_port)
    yield opened
    opened.close()


async def test_datagrams_that_wait_leave_in_order(outbox: Outbox) -> None:
    reports = [bytes([number]) * REPORT_BYTES for number in range(8)]
    for report in reports:
        outbox.send(report)
    assert outbox.endpoint.is_waiting

    assert [await outbox.receive() for _ in reports] == reports
    await outbox.endpoint.wait_until_idle()
    assert not outbox.endpoint.is_waiting


async def test_last_update_leaves_before_what_waits(outbox: Outbox) -> None:
    for _ in range(HOSTS):
        outbox.send(bytes(REPORT_BYTES))
    assert outbox.endpoint.is_waiting

    outbox.endpoint.clear()
    outbox.send(b'leaving')

    received = [await outbox.receive()]
    while received[-1] != b'leaving':
        received.append(await outbox.receive())
    assert len(received) < HOSTS


async def test_datagram_that_waits_says_how_long(outbox: Outbox) -> None:
    address = outbox.inbox.getsockname()
    outbox.endpoint.send_all(
        lambda waited_s: f'{waited_s} '.encode().ljust(REPORT_BYTES),
        [address for _ in range(HOSTS)],
    )

    told_s = []
    for _ in range(HOSTS):
        datagram = await outbox.receive()
        told_s.append(float(datagram.split()[0]))

    assert told_s[0] == 0
    assert told_s == sorted(told_s)
    assert told_s[-1] > REPORT_BYTES * HOSTS / LINK_BYTES_PER_S


def test_ages_in_an_update_grow_while_it_waits() -> None:
    update = dataclasses.replace(
        make_update(),
        crashes=(CrashNotice(1, 't@1', 0.5, cleared=False),),
        report=ZoneReport(
            (HostReport(7, 1.5, ready=True, leaving=False),), {}, {}
        ),
    )

    waited = update.aged(2)

    assert waited.unix_s == update.unix_s + 2
    assert waited.known.catalogue_age_s == update.known.catalogue_age_s + 2
    assert waited.known.targets_age_s == update.known.targets_age_s + 2
    assert waited.crashes[0].age_s == 0.5 + 2
    assert waited.report is not None
    assert waited.report.hosts[0].age_s == 1.5 + 2


class WeakFleet(Fleet):
    """Hosts with weak links."""

    settings = relay.PeerSettings(pace=WEAK)


async def test_crashes_told_to_all_hosts_do_not_hold_the_link(
    unused_udp_port_factory: Callable[[], int], outbox: Outbox
) -> None:
    fleet = WeakFleet(1)
    host = fleet.nodes[0]
    own_address = f'{IP}:{unused_udp_port_factory()}'
    host.peers.own = dataclasses.replace(host.peers.own, address=own_address)
    for number in range(ALL_HOSTS):
        host.peers.add(
            dataclasses.replace(
                host.identity, host=f'h{number}', address=outbox.address
            )
        )
    host.outbox.record_crashes(
        [
            CrashNotice(crash, f't{crash}@1', 0.1, cleared=False)
            for crash in range(CRASHES)
        ],
        fleet.clock.now(),
    )
    running = asyncio.create_task(host.exchange.run())
    await asyncio.sleep(0)
    await asyncio.sleep(0)

    sizes = [len(data) for data in outbox.received()]
    running.cancel()

    held_s = sum(sizes[:-1]) / LINK_BYTES_PER_S
    assert sizes
    assert held_s <= WEAK.burst_s
