"""Shares reads of the store between hosts, since each call is billed.

A few hosts of each zone read the store. All hosts include in their updates
the versions they hold and when the call that confirmed them was sent. A host
with the same versions counts as confirmed at that time. A host that receives
other versions, or no update in time, reads the store itself.
"""

import asyncio
import dataclasses
import math
from collections.abc import Callable

from .peer_updates import PeerUpdate
from .peers import Peers


@dataclasses.dataclass(frozen=True, slots=True)
class SharedReadSettings:
    """How reads are shared.

    Args:
        readers_per_zone: Hosts of a zone that always read the store.
        margin_s: Subtracted from reported times to allow for network delay.
        max_wait_updates: Update intervals for which a host waits for the
            readers of its zone to send the changes of a different list.
    """

    readers_per_zone: int = 2
    margin_s: float = 0.02
    max_wait_updates: float = 2


@dataclasses.dataclass(frozen=True, slots=True)
class StoreState:
    """The versions that a host has read, and when they were confirmed.

    Args:
        catalogue_version: 0 before the first catalogue.
        catalogue_at: When the call that confirmed it was sent.
        targets_digest: Digest of the list of targets.
        targets_at: When the call that read it was sent.
        era: The latest era of the store that this host has seen.
    """

    catalogue_version: int = 0
    catalogue_at: float = -math.inf
    targets_digest: int = 0
    targets_at: float = -math.inf
    era: int = 0


class SharedReads:
    """Confirms this host's store state by the updates of peers.

    Args:
        settings: How reads are shared.
        peers: The other hosts.
        own: Returns the store state of this host.
        clock: Returns the current time in seconds.
    """

    def __init__(
        self,
        settings: SharedReadSettings,
        peers: Peers,
        own: Callable[[], StoreState],
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._own = own
        self._clock = clock
        self._confirmed = StoreState()
        self._mismatch_since: float | None = None
        self.catalogue_differs = asyncio.Event()
        self.targets_differ = asyncio.Event()

    def is_reader(self) -> bool:
        """Return whether this host is one of its zone's readers."""
        return self._peers.rank_in_zone() < self._settings.readers_per_zone

    def handle_update(self, update: PeerUpdate) -> None:
        """Compare a peer's store state with that of this host.

        What was read in another era of the store confirms nothing.
        """
        arrived_at = update.arrived_at(self._clock())
        sent_at = arrived_at - self._settings.margin_s
        own = self._own()
        known = update.known
        if known.catalogue_version > own.catalogue_version:
            self.catalogue_differs.set()
        if known.era != own.era:
            self._read_later_era(is_later=known.era > own.era)
            return
        if known.catalogue_version == own.catalogue_version:
            self._confirm_catalogue(sent_at - known.catalogue_age_s)
        peer_read_at = self.peer_targets_at(update)
        if known.targets_digest == own.targets_digest:
            self._confirm_targets(peer_read_at)
        elif peer_read_at > own.targets_at:
            self._request_read_if_overdue()

    def peer_targets_at(self, update: PeerUpdate) -> float:
        """Return when a peer sent the call that read its targets."""
        arrived_at = update.arrived_at(self._clock())
        sent_at = arrived_at - self._settings.margin_s
        return sent_at - update.known.targets_age_s

    def catalogue_at(self) -> float:
        """Return when a peer last confirmed this host's catalogue."""
        return self._confirmed.catalogue_at

    def targets_at(self) -> float:
        """Return when a peer last confirmed this host's list of targets."""
        own = self._own()
        if self._confirmed.targets_digest != own.targets_digest:
            return -math.inf
        return self._confirmed.targets_at

    def _read_later_era(self, *, is_later: bool) -> None:
        """Read the store if a peer has seen a later era of it."""
        if is_later:
            self.catalogue_differs.set()
            self.targets_differ.set()

    def _request_read_if_overdue(self) -> None:
        """Request a read if the readers have not sent the changes in time."""
        now = self._clock()
        if self._mismatch_since is None:
            self._mismatch_since = now
        interval_s = self._peers.intervals.reader_s()
        if (
            now - self._mismatch_since
            >= self._settings.max_wait_updates * interval_s
        ):
            self._mismatch_since = None
            self.targets_differ.set()

    def _confirm_catalogue(self, at: float) -> None:
        self._confirmed = dataclasses.replace(
            self._confirmed,
            catalogue_at=max(self._confirmed.catalogue_at, at),
        )

    def _confirm_targets(self, at: float) -> None:
        self._mismatch_since = None
        digest = self._own().targets_digest
        if self._confirmed.targets_digest == digest:
            at = max(self._confirmed.targets_at, at)
        self._confirmed = dataclasses.replace(
            self._confirmed,
            targets_digest=digest,
            targets_at=at,
        )
