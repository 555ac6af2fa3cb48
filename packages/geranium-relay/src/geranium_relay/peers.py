"""The other hosts: who they are, who is alive, and what they tell."""

import dataclasses
import statistics

from .clock import BootClock
from .decision_log import DecisionLog
from .peer_updates import (
    Audience,
    PeerIdentity,
    PeerUpdate,
)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """How often hosts tell each other news and when one counts as silent.

    Args:
        update_interval_s: Time between two news with few hosts.
        hosts_at_full_rate: With more hosts news come more seldom in
            proportion, so that a host's traffic stays bounded. Hosts of the
            own zone are counted by themselves: they choose among the same
            targets, and traffic within a zone has no price.
        reader_update_interval_s: Longest time between two news of a host that
            others of its zone rely on for what it reads from the store.
        missed_updates: A host that misses so many news is not used.
        forget_s: A host that is silent for so long is not told news.
        least_step_s: Differences of true time below this are left alone.
    """

    update_interval_s: float = 0.2
    hosts_at_full_rate: int = 16
    reader_update_interval_s: float = 0.4
    missed_updates: float = 6
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

    def add(self, identity: PeerIdentity) -> None:
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

    def handle_update(self, update: PeerUpdate, true_s: float) -> None:
        """Take in what a host says of itself."""
        self.add(update.sender)
        peer = self._peers_by_host.get(update.sender.host)
        if peer is None:
            return
        if peer.identity.incarnation > update.sender.incarnation:
            return
        if peer.heard_at is None or peer.ready != update.ready:
            self._log.record(
                'peer_changed',
                peer=update.sender.host,
                ready=update.ready,
                leaving=update.leaving,
            )
        peer.heard_at = self._clock.now()
        peer.ready = update.ready
        peer.leaving = update.leaving
        peer.ahead_s = update.unix_s - true_s

    def usable(self) -> tuple[PeerIdentity, ...]:
        """Return the other hosts that callers may be sent to."""
        return tuple(
            peer.identity
            for peer in self._peers_by_host.values()
            if peer.ready and not peer.leaving and self._is_alive(peer)
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
        heard = sum(map(self._is_alive, self._peers_by_host.values()))
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

    def update_interval_s(self, audience: Audience = Audience.FAR) -> float:
        """Return the present time between two news to an audience."""
        settings = self._settings
        told = self._count_by_audience[audience]
        share = told / settings.hosts_at_full_rate
        return settings.update_interval_s * max(share, 1)

    def mean_update_age_s(self) -> float:
        """Return the mean age of what other hosts have told, in seconds."""
        # Hosts of the own zone are counted among all others, too.
        others = self._count_by_audience[Audience.FAR]
        near = self._count_by_audience[Audience.NEAR]
        if not others:
            return 0
        every_s = near * self.update_interval_s(Audience.NEAR)
        every_s += (others - near) * self.update_interval_s(Audience.FAR)
        return every_s / others / 2

    def reader_update_interval_s(self) -> float:
        """Return the time between two news of readers to their zone."""
        return min(
            self.update_interval_s(Audience.NEAR),
            self._settings.reader_update_interval_s,
        )

    def _time_step_s(self) -> float:
        ahead = [
            peer.ahead_s
            for peer in self._peers_by_host.values()
            if self._is_alive(peer)
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

    def _is_alive(self, peer: _Peer) -> bool:
        if peer.heard_at is None:
            return False
        silent_s = self._clock.now() - peer.heard_at
        return (
            silent_s < self.update_interval_s() * self._settings.missed_updates
        )
