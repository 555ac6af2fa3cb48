"""Spares most hosts the reading of the store, which is priced by the call.

A few hosts of each zone read it; all tell in their news what they know and
when the call was sent that confirmed it. A host whose knowledge is the same
counts as confirmed at that instant. One that hears of something else, or
nothing in time, reads for itself.
"""

import asyncio
import dataclasses
import math
from collections.abc import Callable

from .peer_updates import PeerUpdate
from .peers import Peers


@dataclasses.dataclass(frozen=True, slots=True)
class SharedReadSettings:
    """How readings are shared.

    Args:
        readers_per_zone: Hosts of a zone that always read.
        margin_s: Taken off what is told, for the time on the way.
        wait_updates: A host that hears of another list of targets gives
            the readers of its zone so many news to tell what has changed.
    """

    readers_per_zone: int = 2
    margin_s: float = 0.02
    wait_updates: float = 2


@dataclasses.dataclass(frozen=True, slots=True)
class StoreState:
    """What a host knows from the store, and when that was confirmed.

    Args:
        catalogue_version: 0 before the first catalogue.
        catalogue_at: When the call was sent that confirmed it.
        targets_digest: Stands for the list of targets.
        targets_at: When the call was sent that brought it.
    """

    catalogue_version: int = 0
    catalogue_at: float = -math.inf
    targets_digest: int = 0
    targets_at: float = -math.inf


class SharedReads:
    """What other hosts know from the store.

    Args:
        settings: See there.
        peers: The other hosts.
        own: Returns what this host knows.
        clock: The clock of all instants.
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
        self._told = StoreState()
        self._differs_since: float | None = None
        self.catalogue_differs = asyncio.Event()
        self.targets_differ = asyncio.Event()

    def is_reader(self) -> bool:
        """Say whether this host has to read in any case."""
        own = self._peers.own
        rivals = sum(
            peer.zone == own.zone and peer.host < own.host
            for peer in self._peers.usable()
        )
        return rivals < self._settings.readers_per_zone

    def handle_update(self, update: PeerUpdate) -> None:
        """Take in what a peer knows."""
        now = self._clock() - self._settings.margin_s
        own = self._own()
        known = update.known
        if known.catalogue_version > own.catalogue_version:
            self.catalogue_differs.set()
        elif known.catalogue_version == own.catalogue_version:
            self._record_catalogue(now - known.catalogue_age_s)
        told_at = self.peer_targets_at(update)
        if known.targets_digest == own.targets_digest:
            self._record_targets(told_at)
        elif told_at > own.targets_at:
            self._record_difference()

    def peer_targets_at(self, update: PeerUpdate) -> float:
        """Return when a peer sent the call that brought its targets."""
        sent_at = self._clock() - self._settings.margin_s
        return sent_at - update.known.targets_age_s

    def catalogue_at(self) -> float:
        """Return the last instant at which this host's version stood."""
        return self._told.catalogue_at

    def targets_at(self) -> float:
        """Return the last instant at which this host's list stood."""
        own = self._own()
        if self._told.targets_digest != own.targets_digest:
            return -math.inf
        return self._told.targets_at

    def _record_difference(self) -> None:
        """Ask for a reading if the readers have not told the changes."""
        now = self._clock()
        if self._differs_since is None:
            self._differs_since = now
        interval_s = self._peers.reader_update_interval_s()
        if (
            now - self._differs_since
            >= self._settings.wait_updates * interval_s
        ):
            self._differs_since = None
            self.targets_differ.set()

    def _record_catalogue(self, at: float) -> None:
        self._told = dataclasses.replace(
            self._told,
            catalogue_at=max(self._told.catalogue_at, at),
        )

    def _record_targets(self, at: float) -> None:
        self._differs_since = None
        digest = self._own().targets_digest
        if self._told.targets_digest == digest:
            at = max(self._told.targets_at, at)
        self._told = dataclasses.replace(
            self._told,
            targets_digest=digest,
            targets_at=at,
        )
