"""Composes the updates of a host from the state of its components."""

import dataclasses
import math
from collections.abc import Callable, Mapping
from typing import TypeAlias

from geranium_policy.suspects import CrashNotice

from .clock import BootClock, ClusterClock
from .load_tracker import LoadTracker, TargetLoad
from .observation_queue import ObservationQueue
from .peer_updates import (
    AdvertisedStoreState,
    Audience,
    Outbox,
    PeerUpdate,
    name_hash,
)
from .peers import Peers
from .rate_limit_updates import AdvertisedRateLimit
from .stream_origins import StreamOrigins
from .targets import TargetChange
from .zone_reports import ZoneReport

REMOTE_HOSTS_INTERVAL_S = 1.0

UsageByWindow: TypeAlias = Mapping[int, Mapping[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class HostStatus:
    """Whether this host is ready for callers and whether it is leaving."""

    ready: bool
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUpdateSources:
    """Sources of this host's updates, and the tracker of peer loads."""

    loads: LoadTracker
    outbox: Outbox
    origins: StreamOrigins
    state: Callable[[], HostStatus]
    usage: Callable[[], UsageByWindow]
    known: Callable[[], AdvertisedStoreState]
    is_reader: Callable[[], bool]
    target_changes: Callable[[], tuple[TargetChange, ...]]
    departures: Callable[[], tuple[str, ...]]
    rate_limits: Callable[[], tuple[AdvertisedRateLimit, ...]]
    crash_proofs: Callable[[], tuple[CrashNotice, ...]]
    sealed_through: Callable[[], int]
    unreached: Callable[[], tuple[str, ...]]
    observations: ObservationQueue = dataclasses.field(
        default_factory=ObservationQueue
    )


class UpdateComposer:
    """Composes updates; each takes the dispatches that are queued for it.

    Args:
        peers: The other hosts.
        sources: Contents of updates.
        time: Cluster time.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        peers: Peers,
        sources: PeerUpdateSources,
        time: ClusterClock,
        clock: BootClock,
    ) -> None:
        self._peers = peers
        self._sources = sources
        self._time = time
        self._clock = clock
        self._remote_hosts_at = -math.inf

    def direct(self, audience: Audience) -> PeerUpdate:
        """Return the update that this host sends about itself.

        Changed targets are sent to this zone only: each zone has hosts that
        read the list, and traffic between zones is billed.
        """
        sources = self._sources
        now = self._clock.now()
        state = sources.state()
        dispatches, crashes = sources.outbox.take(audience, now)
        changes: tuple[TargetChange, ...] = ()
        if audience is Audience.NEAR and sources.is_reader():
            changes = sources.target_changes()
        return PeerUpdate(
            sender=self._peers.own,
            ready=state.ready,
            leaving=state.leaving,
            unix_s=self._time.now(),
            load_by_target=_by_hash(sources.loads.local_loads(now)),
            dispatches=dispatches,
            crashes=(*crashes, *sources.crash_proofs()),
            usage_by_window=sources.usage(),
            known=sources.known(),
            target_changes=changes,
            departures=tuple(map(name_hash, sources.departures())),
            rate_limits=sources.rate_limits(),
            origins=sources.origins.take(audience),
            sealed_through=sources.sealed_through(),
            unreached=tuple(map(name_hash, sources.unreached())),
            rate_observations=sources.observations.take(audience),
        )

    def zone_report(self) -> PeerUpdate:
        """Return the update of an aggregator for its zone.

        The states of the hosts of other zones, which callers of this zone
        rarely get, are included every ``REMOTE_HOSTS_INTERVAL_S``.
        """
        loads = self._sources.loads
        now = self._clock.now()
        zone: str | None = self._peers.own.zone
        if now >= self._remote_hosts_at:
            self._remote_hosts_at = now + REMOTE_HOSTS_INTERVAL_S
            zone = None
        report = ZoneReport(
            self._peers.host_reports(zone),
            {
                name_hash(host): _by_hash(peer.load_by_target)
                for host, peer in loads.zone_peers(now).items()
                if peer.load_by_target
            },
            _by_hash(loads.other_zones_sum(now)),
            self._peers.new_hosts(),
        )
        return dataclasses.replace(self.direct(Audience.NEAR), report=report)

    def remote_report(self) -> PeerUpdate:
        """Return the update of an aggregator for those of other zones.

        The sum contains this host's own loads.
        """
        report = ZoneReport(
            self._peers.host_reports(self._peers.own.zone),
            {},
            _by_hash(self._sources.loads.zone_sum(self._clock.now())),
            self._peers.new_hosts(),
        )
        update = self.direct(Audience.FAR)
        return dataclasses.replace(update, load_by_target={}, report=report)


def _by_hash(
    load_by_key: Mapping[str, TargetLoad],
) -> dict[int, TargetLoad]:
    return {name_hash(key): load for key, load in load_by_key.items()}


__all__ = [
    'HostStatus',
    'ObservationQueue',
    'PeerUpdateSources',
    'UpdateComposer',
]
