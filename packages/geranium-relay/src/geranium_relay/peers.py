"""Tracks the other hosts: their identity, liveness and reported state."""

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
    """Intervals of peer updates and the limits for silent hosts.

    Args:
        update_interval_s: Interval of updates with few hosts.
        max_hosts_at_full_rate: Above this number of hosts, the interval grows
            in proportion, which bounds a host's traffic. Hosts of the same
            zone are counted separately: they select among the same targets,
            and traffic within a zone is free.
        reader_update_interval_s: Maximum interval of a host that others of
            its zone rely on for what it reads from the store.
        missed_updates: A host that misses this many updates is not used.
        prune_after_s: A host that is silent for this time is sent no updates.
        min_correction_s: Smaller differences of cluster time are ignored.
    """

    update_interval_s: float = 0.2
    max_hosts_at_full_rate: int = 16
    reader_update_interval_s: float = 0.4
    missed_updates: float = 6
    prune_after_s: float = 30
    min_correction_s: float = 0.25


@dataclasses.dataclass(slots=True)
class _Peer:
    identity: PeerIdentity
    added_at: float
    updated_at: float | None = None
    ready: bool = False
    leaving: bool = False
    clock_offset_s: float = 0


class Peers:
    """Holds the state of the other hosts."""

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
        """Add a host, or replace it by a newer incarnation."""
        if identity.host == self.own.host:
            return
        known = self._peers_by_host.get(identity.host)
        if known is not None:
            if known.identity.incarnation >= identity.incarnation:
                return
        self._peers_by_host[identity.host] = _Peer(identity, self._clock.now())
        if known is None:
            self._count(identity)

    def handle_update(self, update: PeerUpdate, cluster_s: float) -> None:
        """Apply a host's update of its state."""
        self.add(update.sender)
        peer = self._peers_by_host.get(update.sender.host)
        if peer is None:
            return
        if peer.identity.incarnation > update.sender.incarnation:
            return
        if peer.updated_at is None or peer.ready != update.ready:
            self._log.record(
                'peer_changed',
                peer=update.sender.host,
                ready=update.ready,
                leaving=update.leaving,
            )
        peer.updated_at = self._clock.now()
        peer.ready = update.ready
        peer.leaving = update.leaving
        peer.clock_offset_s = update.unix_s - cluster_s

    def usable(self) -> tuple[PeerIdentity, ...]:
        """Return the other hosts that accept callers."""
        return tuple(
            peer.identity
            for peer in self._peers_by_host.values()
            if peer.ready and not peer.leaving and self._is_alive(peer)
        )

    def recipients(self) -> tuple[PeerIdentity, ...]:
        """Return the other hosts that updates are sent to."""
        oldest = self._clock.now() - self._settings.prune_after_s
        return tuple(
            peer.identity
            for peer in self._peers_by_host.values()
            if (peer.updated_at or peer.added_at) > oldest
        )

    def alive_count(self) -> int:
        """Return the number of live hosts, including this one."""
        alive = sum(map(self._is_alive, self._peers_by_host.values()))
        return alive + 1

    def take_clock_correction_s(self) -> float:
        """Return the correction of this host's cluster time, in seconds.

        The correction is the median difference to the live peers, since most
        hosts are right at any time. The stored differences are reduced by it,
        so that a step is applied once even if the next updates are late.
        """
        step_s = self._clock_correction_s()
        if step_s:
            for peer in self._peers_by_host.values():
                peer.clock_offset_s -= step_s
        return step_s

    def update_interval_s(self, audience: Audience = Audience.FAR) -> float:
        """Return the current interval of updates to an audience."""
        settings = self._settings
        count = self._count_by_audience[audience]
        share = count / settings.max_hosts_at_full_rate
        return settings.update_interval_s * max(share, 1)

    def mean_update_age_s(self) -> float:
        """Return the mean age of the other hosts' state, in seconds."""
        # Audience.FAR counts all other hosts, including those of this zone.
        others = self._count_by_audience[Audience.FAR]
        near = self._count_by_audience[Audience.NEAR]
        if not others:
            return 0
        interval_s = near * self.update_interval_s(Audience.NEAR)
        interval_s += (others - near) * self.update_interval_s(Audience.FAR)
        return interval_s / others / 2

    def reader_update_interval_s(self) -> float:
        """Return the interval of updates from readers to their zone."""
        return min(
            self.update_interval_s(Audience.NEAR),
            self._settings.reader_update_interval_s,
        )

    def _clock_correction_s(self) -> float:
        offsets = [
            peer.clock_offset_s
            for peer in self._peers_by_host.values()
            if self._is_alive(peer)
        ]
        if len(offsets) < 2:
            return 0
        step_s = statistics.median([*offsets, 0])
        return step_s if abs(step_s) > self._settings.min_correction_s else 0

    def _count(self, identity: PeerIdentity) -> None:
        """Count a host; the interval of FAR depends on all other hosts."""
        self._count_by_audience[Audience.FAR] += 1
        if identity.zone == self.own.zone:
            self._count_by_audience[Audience.NEAR] += 1

    def _is_alive(self, peer: _Peer) -> bool:
        if peer.updated_at is None:
            return False
        silent_s = self._clock.now() - peer.updated_at
        return (
            silent_s < self.update_interval_s() * self._settings.missed_updates
        )
