"""Hosts that exchange peer updates over a network in memory."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import TypeAlias

import geranium_relay as relay
from geranium_policy.suspects import CrashNotice
from geranium_relay.datagrams import Encode

from .origins import make_origins

ZONES = 'abc'
DATAGRAM_DELAY_S = 0.002
STORE_STATE = relay.AdvertisedStoreState(1, 0, 0, 0)
MAX_START_DELAY_S = 0.3
Send: TypeAlias = Callable[[bytes, tuple[str, int]], None]
Event: TypeAlias = tuple[float, int, Callable[[], None]]


class Clock(relay.BootClock):
    def __init__(self) -> None:
        self.instant = 1000.0

    def now(self) -> float:
        return self.instant


class FakeTransport:
    def __init__(self, send: Send) -> None:
        self._send = send

    def send_all(
        self, encode: Encode, addresses: Iterable[tuple[str, int]]
    ) -> None:
        datagram = encode(0)
        for address in addresses:
            self._send(datagram, address)


class Node:
    """A host of a fleet."""

    rate_limits: tuple[relay.AdvertisedRateLimit, ...] = ()
    cut_services: tuple[str, ...] = ()
    crash_proofs: tuple[CrashNotice, ...] = ()

    def __init__(self, name: str, zone: str, fleet: 'Fleet') -> None:
        clock = fleet.clock
        own = relay.PeerIdentity(
            name, zone, f'{name}:1', f'{name}:2', 1, fleet.capacity(name)
        )
        self.received = 0
        self.heard: list[relay.PeerUpdate] = []
        self.is_up = True
        self.status = relay.HostStatus(ready=True, leaving=False)
        self.usage: dict[int, dict[str, int]] = {}
        log = relay.DecisionLog(
            relay.LogSettings(), fleet.lines.append, clock.now
        )
        self.peers = relay.Peers(fleet.settings, own, clock, log)
        self.loads = relay.LoadTracker(1.2, zone)
        self.outbox = relay.Outbox()
        self.observations = relay.ObservationQueue()
        self.exchange = relay.PeerExchange(
            self.peers,
            relay.PeerUpdateSources(
                self.loads,
                self.outbox,
                make_origins(relay.Fleet(0, 0), clock.now, clock.now),
                lambda: self.status,
                lambda: self.usage,
                lambda: STORE_STATE,
                self._is_reader,
                tuple,
                tuple,
                lambda: self.rate_limits,
                lambda: self.crash_proofs,
                int,
                lambda: self.cut_services,
                self.observations,
            ),
            relay.ClusterClock(clock),
            clock,
            self._record,
            log,
        )
        self.exchange.set_target_keys(fleet.targets)
        self.exchange.connection_made(FakeTransport(fleet.send_from(self)))

    @property
    def identity(self) -> relay.PeerIdentity:
        """The host and its addresses."""
        return self.peers.own

    @property
    def name(self) -> str:
        """The name of the host."""
        return self.peers.own.host

    def _is_reader(self) -> bool:
        return self.peers.rank_in_zone() < 2

    def _record(
        self, update: relay.PeerUpdate, keys_by_hash: relay.KeysByHash
    ) -> None:
        self.heard.append(update)


class Fleet:
    """Hosts on a clock that only :meth:`run` advances."""

    settings = relay.PeerSettings()

    def __init__(
        self, hosts: int, *, known: bool = True, strong: str = ''
    ) -> None:
        self.clock = Clock()
        self.lines: list[str] = []
        numbers = range(hosts // 2)
        self.targets = frozenset(f't{number}@1' for number in numbers)
        self.nodes_by_name: dict[str, Node] = {}
        self.strong = strong
        self.cut: set[frozenset[str]] = set()
        self._random = random.Random(hosts)
        self._numbers = itertools.count()
        self._events: list[Event] = []
        for number in range(hosts):
            name = str(number).zfill(3)
            self.add(f'h{name}', ZONES[number % len(ZONES)])
        if known:
            for node in self.nodes:
                for other in self.nodes:
                    node.peers.add(other.identity)

    @property
    def nodes(self) -> list[Node]:
        """All hosts, in the order of their names."""
        return sorted(self.nodes_by_name.values(), key=lambda node: node.name)

    def capacity(self, name: str) -> int:
        """Return the capacity of a host; one may be strong."""
        return 9 if name == self.strong else 1

    def zone(self, zone: str) -> list[Node]:
        """Return the hosts of a zone."""
        return [node for node in self.nodes if node.identity.zone == zone]

    def add(self, name: str, zone: str) -> Node:
        """Start a host."""
        node = Node(name, zone, self)
        self.nodes_by_name[name] = node
        delay_s = self._random.uniform(0, MAX_START_DELAY_S)
        self._after(delay_s, lambda: self._send_due(node))
        return node

    def stop(self, nodes: Iterable[Node]) -> None:
        """Kill hosts."""
        for node in nodes:
            node.is_up = False

    def run(self, duration_s: float) -> None:
        """Advance the clock and run what is due."""
        until = self.clock.instant + duration_s
        while self._events and self._events[0][0] <= until:
            at, _, action = heapq.heappop(self._events)
            self.clock.instant = at
            action()
        self.clock.instant = until

    def send_from(self, node: Node) -> Send:
        """Return the function by which a host sends datagrams."""

        def send(data: bytes, address: tuple[str, int]) -> None:
            receiver = self.nodes_by_name.get(address[0])
            if receiver is not None and node.is_up:
                self._after(
                    DATAGRAM_DELAY_S,
                    lambda: self._deliver(node, receiver, data),
                )

        return send

    def _deliver(self, sender: Node, receiver: Node, data: bytes) -> None:
        pair = frozenset((sender.name, receiver.name))
        if receiver.is_up and pair not in self.cut:
            receiver.received += 1
            receiver.exchange.datagram_received(data, (sender.name, 2))

    def _send_due(self, node: Node) -> None:
        if not node.is_up:
            return
        delay_s = node.exchange.send_due()
        self._after(delay_s, lambda: self._send_due(node))

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (self.clock.instant + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, entry)
