"""The other hosts: who they are, who is alive, and what they tell."""

import asyncio
import dataclasses
import math
import statistics
from collections.abc import Callable, Mapping
from typing import TypeAlias

from .clock import BootClock, TrueTime
from .decision_log import DecisionLog
from .load_book import LoadBook, TargetLoad
from .peer_news import (
    Audience,
    Knowledge,
    MalformedNewsError,
    News,
    Outbox,
    PeerIdentity,
    decode_news,
    encode_news,
    target_hash,
)
from .targets import TargetChange

KeysByHash: TypeAlias = Mapping[int, str]
UsageByWindow: TypeAlias = Mapping[int, Mapping[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """How often hosts tell each other news and when one counts as silent.

    Args:
        news_every_s: Time between two news with few hosts.
        hosts_at_full_rate: With more hosts news come more seldom in
            proportion, so that a host's traffic stays bounded. Hosts of the
            own zone are counted by themselves: they choose among the same
            targets, and traffic within a zone has no price.
        reader_news_every_s: Longest time between two news of a host that
            others of its zone rely on for what it reads from the store.
        silent_news: A host that misses so many news is not used.
        forget_s: A host that is silent for so long is not told news.
        least_step_s: Differences of true time below this are left alone.
    """

    news_every_s: float = 0.2
    hosts_at_full_rate: int = 16
    reader_news_every_s: float = 0.4
    silent_news: float = 6
    forget_s: float = 30
    least_step_s: float = 0.25


@dataclasses.dataclass(slots=True)
class _Peer:
    identity: PeerIdentity
    known_at: float
    heard_at: float | None = None
    ready: bool = False
    leaving: bool = False
    ahead_s: float = 0


class Peers:
    """What this host knows of the others."""

    def __init__(
        self,
        settings: PeerSettings,
        own: PeerIdentity,
        clock: BootClock,
        log: DecisionLog,
    ) -> None:
        self.own = own
        self._settings = settings
        self._clock = clock
        self._log = log
        self._peers_by_host: dict[str, _Peer] = {}
        self._count_by_audience = dict.fromkeys(Audience, 0)

    def introduce(self, identity: PeerIdentity) -> None:
        """Take in a host that the store lists."""
        if identity.host == self.own.host:
            return
        known = self._peers_by_host.get(identity.host)
        if known is not None:
            if known.identity.incarnation >= identity.incarnation:
                return
        self._peers_by_host[identity.host] = _Peer(identity, self._clock.now())
        if known is None:
            self._count(identity)

    def hear(self, news: News, true_s: float) -> None:
        """Take in what a host says of itself."""
        self.introduce(news.sender)
        peer = self._peers_by_host.get(news.sender.host)
        if peer is None:
            return
        if peer.identity.incarnation > news.sender.incarnation:
            return
        if peer.heard_at is None or peer.ready != news.ready:
            self._log.note(
                'peer_changed',
                peer=news.sender.host,
                ready=news.ready,
                leaving=news.leaving,
            )
        peer.heard_at = self._clock.now()
        peer.ready = news.ready
        peer.leaving = news.leaving
        peer.ahead_s = news.unix_s - true_s

    def usable(self) -> tuple[PeerIdentity, ...]:
        """Return the other hosts that callers may be sent to."""
        return tuple(
            peer.identity
            for peer in self._peers_by_host.values()
            if peer.ready and not peer.leaving and self._is_heard(peer)
        )

    def listed(self) -> tuple[PeerIdentity, ...]:
        """Return the other hosts that are to be told news."""
        oldest = self._clock.now() - self._settings.forget_s
        return tuple(
            peer.identity
            for peer in self._peers_by_host.values()
            if (peer.heard_at or peer.known_at) > oldest
        )

    def alive_count(self) -> int:
        """Return how many hosts share the load, this one included."""
        heard = sum(map(self._is_heard, self._peers_by_host.values()))
        return heard + 1

    def take_time_step_s(self) -> float:
        """Return by how much this host's true time is to be moved now.

        Most hosts are right at any moment, so the median says. What peers
        have told is counted from the moved time on: a step is taken once,
        however long their next news take.
        """
        step_s = self._time_step_s()
        if step_s:
            for peer in self._peers_by_host.values():
                peer.ahead_s -= step_s
        return step_s

    def news_every_s(self, audience: Audience = Audience.FAR) -> float:
        """Return the present time between two news to an audience."""
        settings = self._settings
        told = self._count_by_audience[audience]
        share = told / settings.hosts_at_full_rate
        return settings.news_every_s * max(share, 1)

    def reader_news_every_s(self) -> float:
        """Return the time between two news of readers to their zone."""
        return min(
            self.news_every_s(Audience.NEAR),
            self._settings.reader_news_every_s,
        )

    def _time_step_s(self) -> float:
        ahead = [
            peer.ahead_s
            for peer in self._peers_by_host.values()
            if self._is_heard(peer)
        ]
        if len(ahead) < 2:
            return 0
        step_s = statistics.median([*ahead, 0])
        return step_s if abs(step_s) > self._settings.least_step_s else 0

    def _count(self, identity: PeerIdentity) -> None:
        """Count a host; news to other zones keep pace with all hosts."""
        self._count_by_audience[Audience.FAR] += 1
        if identity.zone == self.own.zone:
            self._count_by_audience[Audience.NEAR] += 1

    def _is_heard(self, peer: _Peer) -> bool:
        if peer.heard_at is None:
            return False
        silent_s = self._clock.now() - peer.heard_at
        return silent_s < self.news_every_s() * self._settings.silent_news


@dataclasses.dataclass(frozen=True, slots=True)
class OwnState:
    """What this host says of itself at a moment."""

    ready: bool
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NewsSources:
    """Where a host's news come from, and where those of peers go."""

    loads: LoadBook
    outbox: Outbox
    state: Callable[[], OwnState]
    usage: Callable[[], UsageByWindow]
    known: Callable[[], Knowledge]
    is_reader: Callable[[], bool]
    target_changes: Callable[[], tuple[TargetChange, ...]]


class PeerExchange(asyncio.DatagramProtocol):
    """Sends this host's news to all others and takes in theirs.

    Args:
        peers: The other hosts.
        sources: What there is to tell; its load book gets theirs.
        time: True time.
        clock: The clock of instants.
        hear: Called with each news that was taken in, and with the keys of
            the targets that hashes stand for.
    """

    def __init__(
        self,
        peers: Peers,
        sources: NewsSources,
        time: TrueTime,
        clock: BootClock,
        hear: Callable[[News, KeysByHash], None],
    ) -> None:
        self._peers = peers
        self._sources = sources
        self._time = time
        self._clock = clock
        self._hear = hear
        self._transport: asyncio.DatagramTransport | None = None
        self._keys_by_hash: KeysByHash = {}
        self._far_due_at = -math.inf

    def name_targets(self, keys: frozenset[str]) -> None:
        """Tell which targets the hashes in news may stand for."""
        self._keys_by_hash = {target_hash(key): key for key in keys}

    async def run(self) -> None:
        """Tell news until cancelled."""
        host, port = _split(self._peers.own.address)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host, port),
        )
        self._transport = transport
        try:
            while True:
                self._tell_due()
                await asyncio.sleep(self._pause_s())
        finally:
            transport.close()

    def tell(self) -> None:
        """Send this host's news to all others once."""
        for audience in Audience:
            self._tell(audience)

    def datagram_received(
        self,
        data: bytes,
        addr: tuple[str | int, int],
    ) -> None:
        """Take in a datagram; one that is no news is left."""
        try:
            news = decode_news(data)
        except MalformedNewsError:
            return
        self._peers.hear(news, self._time.now())
        self._sources.loads.take_in(
            news.sender.host,
            self._name_loads(news.load_by_target),
            self._clock.now(),
        )
        self._hear(news, self._keys_by_hash)

    def _tell_due(self) -> None:
        """Send news to the own zone, and to the others if it is time."""
        self._time.adjust(self._peers.take_time_step_s())
        self._tell(Audience.NEAR)
        now = self._clock.now()
        # The next turn may come a little early or far too late.
        if now + self._pause_s() / 2 >= self._far_due_at:
            self._far_due_at = now + self._peers.news_every_s()
            self._tell(Audience.FAR)

    def _tell(self, audience: Audience) -> None:
        if self._transport is None:
            return
        own_zone = self._peers.own.zone
        addresses = [
            _split(peer.address)
            for peer in self._peers.listed()
            if (peer.zone == own_zone) is (audience is Audience.NEAR)
        ]
        if not addresses:
            return
        datagram = encode_news(self._news(audience))
        for address in addresses:
            self._transport.sendto(datagram, address)

    def _news(self, audience: Audience) -> News:
        """Return what an audience is told.

        Changed targets are told to the own zone alone: each zone has hosts
        that read the list, and traffic between zones is priced.
        """
        now = self._clock.now()
        sources = self._sources
        state = sources.state()
        dispatches, crashes = sources.outbox.take(audience, now)
        tells_changes = audience is Audience.NEAR and sources.is_reader()
        return News(
            self._peers.own,
            state.ready,
            state.leaving,
            self._time.now(),
            {
                target_hash(key): load
                for key, load in sources.loads.own(now).items()
            },
            dispatches,
            crashes,
            sources.usage(),
            sources.known(),
            sources.target_changes() if tells_changes else (),
        )

    def _pause_s(self) -> float:
        if self._sources.is_reader():
            return self._peers.reader_news_every_s()
        return self._peers.news_every_s(Audience.NEAR)

    def _name_loads(
        self,
        load_by_hash: Mapping[int, TargetLoad],
    ) -> dict[str, TargetLoad]:
        keys_by_hash = self._keys_by_hash
        return {
            keys_by_hash[number]: load
            for number, load in load_by_hash.items()
            if number in keys_by_hash
        }


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
