"""Tracks the other hosts: their identity, liveness and reported state."""

import dataclasses
import math

from .clock import BootClock
from .clock_offsets import ClockOffsets
from .decision_log import DecisionLog
from .messages import PeerIdentity
from .peer_identities import check_identity
from .peer_updates import PeerUpdate, name_hash
from .topology import (
    FullMesh,
    Topology,
    other_zones,
    zone_aggregator,
    zone_member,
)
from .update_intervals import PeerSettings, UpdateIntervals
from .zone_reports import HostReport, ZoneReport

MAX_TIMED_WAIT_S = 0.5  # the times of updates that waited longer tell nothing
USABLE_INTERVAL_S = 0.1  # usable hosts are computed again after this time


@dataclasses.dataclass(slots=True)
class _Peer:
    identity: PeerIdentity
    added_at: float
    updated_at: float | None = None
    ready: bool = False
    leaving: bool = False
    unreached: tuple[int, ...] = ()


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
        self.intervals = UpdateIntervals(settings)
        self.settings = settings
        self._clock = clock
        self._log = log
        self._offsets = ClockOffsets(settings.min_correction_s)
        self._own_hash = name_hash(own.host)
        self._peers_by_hash: dict[int, _Peer] = {}
        self._unlisted_at_by_hash: dict[int, float] = {}
        self._usable: tuple[PeerIdentity, ...] = ()
        self._usable_until = -math.inf
        self._heard_at = -math.inf

    def add(self, identity: PeerIdentity) -> None:
        """Add a host, or replace it by a newer incarnation.

        Hosts to which no update can be sent are left out.
        """
        if identity.host == self.own.host:
            return
        host_hash = name_hash(identity.host)
        known = self._peers_by_hash.get(host_hash)
        if known is not None:
            if known.identity.incarnation >= identity.incarnation:
                return
        try:
            check_identity(identity)
        except ValueError as error:
            self._log.record(
                'host_entry_unreadable', key=identity.host, error=str(error)
            )
            return
        self._peers_by_hash[host_hash] = _Peer(identity, self._clock.now())
        self._unlisted_at_by_hash.pop(host_hash, None)
        self._usable_until = -math.inf
        if known is None:
            self.intervals.count(same_zone=identity.zone == self.own.zone)

    def handle_update(self, update: PeerUpdate, cluster_s: float) -> None:
        """Apply a host's update of its state, and its report."""
        self.add(update.sender)
        host = update.sender.host
        peer = self._peers_by_hash.get(name_hash(host))
        if peer is None:
            return
        if peer.identity.incarnation > update.sender.incarnation:
            return
        now = self._clock.now()
        arrived_at = update.arrived_at(now)
        if now - arrived_at < MAX_TIMED_WAIT_S:
            self._offsets.record(host, update.unix_s - cluster_s, now)
        self._apply_state(
            peer,
            HostReport(
                name_hash(host),
                0,
                update.ready,
                update.leaving,
                update.unreached,
            ),
            arrived_at,
        )
        if update.report is not None:
            self._apply_report(update.sender, update.report, arrived_at)

    def find(self, host_hash: int) -> PeerIdentity | None:
        """Return the peer whose name has a hash, if it is known."""
        peer = self._peers_by_hash.get(host_hash)
        return None if peer is None else peer.identity

    def usable(self) -> tuple[PeerIdentity, ...]:
        """Return the other hosts that accept callers."""
        now = self._clock.now()
        if now >= self._usable_until:
            max_silence_s = self.intervals.max_silence_s()
            self._usable_until = now + USABLE_INTERVAL_S
            self._usable = tuple(
                peer.identity
                for peer in self._peers_by_hash.values()
                if peer.ready
                and not peer.leaving
                and _is_alive(peer, now - max_silence_s)
            )
        return self._usable

    def recipients(self) -> tuple[PeerIdentity, ...]:
        """Return the other hosts that updates are sent to."""
        oldest = self._clock.now() - self.settings.prune_after_s
        return tuple(
            peer.identity
            for peer in self._peers_by_hash.values()
            if (peer.updated_at or peer.added_at) > oldest
        )

    def alive_count(self) -> int:
        """Return the number of live hosts, including this one."""
        oldest = self._clock.now() - self.intervals.max_silence_s()
        return 1 + sum(
            _is_alive(peer, oldest) for peer in self._peers_by_hash.values()
        )

    def recent_count(self) -> int:
        """Return the number of hosts that may still share a common budget.

        Unlike :meth:`alive_count`, it includes hosts that have become silent
        and those that were never heard, which may be alive behind a partition,
        and those that are known from the reports of others only.
        """
        now = self._clock.now()
        signs = [_last_sign_at(peer) for peer in self._peers_by_hash.values()]
        # A host that hears nobody may be the one that is cut off.
        heard_at = min(now, max(signs, default=now))
        oldest_by_leaving = {
            False: heard_at - self.settings.budget_share_s,
            True: now - self.settings.prune_after_s,
        }
        listed = sum(
            _last_sign_at(peer) > oldest_by_leaving[peer.leaving]
            for peer in self._peers_by_hash.values()
        )
        unlisted = sum(
            reported_at > oldest_by_leaving[False]
            for reported_at in self._unlisted_at_by_hash.values()
        )
        return 1 + listed + unlisted

    def rank_in_zone(self) -> int:
        """Return the number of usable hosts before this one in its zone."""
        own = self.own
        return sum(
            peer.zone == own.zone and peer.precedence < own.precedence
            for peer in self.usable()
        )

    def topology(self) -> Topology:
        """Return which hosts this host sends its updates to now."""
        if not self.intervals.is_aggregated():
            return FullMesh()
        rank = self.rank_in_zone()
        per_zone = self.settings.aggregators_per_zone
        if rank < per_zone:
            others = (self.usable(), self.recipients())
            peers_by_zone = other_zones(others, self.own.zone)
            return zone_aggregator(peers_by_zone, per_zone, rank)
        unheard_s = self._clock.now() - self._heard_at
        if unheard_s > self.intervals.max_unheard_s():
            return FullMesh()
        near = [peer for peer in self.usable() if peer.zone == self.own.zone]
        return zone_member(near, per_zone, self._own_hash)

    def host_reports(self, zone: str | None = None) -> tuple[HostReport, ...]:
        """Return the state of the other hosts, of one zone or of all."""
        now = self._clock.now()
        return tuple(
            HostReport(
                host_hash,
                now - peer.updated_at,
                peer.ready,
                peer.leaving,
                peer.unreached,
            )
            for host_hash, peer in self._peers_by_hash.items()
            if peer.updated_at is not None
            and now - peer.updated_at < self.settings.prune_after_s
            and zone in {None, peer.identity.zone}
        )

    def new_hosts(self) -> tuple[PeerIdentity, ...]:
        """Return the hosts that have appeared recently."""
        oldest = self._clock.now() - self.settings.new_host_s
        return tuple(
            peer.identity
            for peer in self._peers_by_hash.values()
            if peer.added_at > oldest and peer.updated_at is not None
        )

    def take_clock_correction_s(self) -> float:
        """Return the correction of this host's cluster time, in seconds."""
        oldest = self._clock.now() - self.intervals.max_silence_s()
        return self._offsets.take_correction_s(oldest)

    def _apply_report(
        self, sender: PeerIdentity, report: ZoneReport, arrived_at: float
    ) -> None:
        for identity in report.new_hosts:
            self.add(identity)
        for reported in report.hosts:
            peer = self._peers_by_hash.get(reported.host)
            if reported.host == self._own_hash:
                self._apply_own_report(sender, reported, arrived_at)
            elif peer is None:
                self._unlisted_at_by_hash[reported.host] = arrived_at
            else:
                self._apply_state(peer, reported, arrived_at - reported.age_s)

    def _apply_own_report(
        self, sender: PeerIdentity, reported: HostReport, arrived_at: float
    ) -> None:
        """Record that an aggregator of this zone hears this host."""
        is_heard = reported.age_s < self.intervals.max_silence_s()
        if is_heard and sender.zone == self.own.zone:
            self._heard_at = max(self._heard_at, arrived_at)

    def _apply_state(
        self, peer: _Peer, state: HostReport, sent_at: float
    ) -> None:
        """Apply a state that a peer sent at a time, unless it is outdated.

        Updates that have waited together count as sent at the same time.
        """
        if peer.updated_at is not None and sent_at < peer.updated_at:
            return
        if peer.updated_at is None or peer.ready != state.ready:
            self._log.record(
                'peer_changed',
                peer=peer.identity.host,
                ready=state.ready,
                leaving=state.leaving,
            )
        if (peer.ready, peer.leaving) != (state.ready, state.leaving):
            self._usable_until = -math.inf
        peer.updated_at = sent_at
        peer.ready = state.ready
        peer.leaving = state.leaving
        peer.unreached = state.unreached


def _is_alive(peer: _Peer, oldest: float) -> bool:
    return peer.updated_at is not None and peer.updated_at > oldest


def _last_sign_at(peer: _Peer) -> float:
    """Return when a peer was heard last, or added if it never was."""
    return peer.added_at if peer.updated_at is None else peer.updated_at
