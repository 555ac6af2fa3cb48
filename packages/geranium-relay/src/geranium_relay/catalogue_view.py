"""The newest catalogue that this host has read, and its freshness."""

import dataclasses
import math
from collections.abc import Callable

from .catalogue import Catalogue, Limits, RouteTable

Clock = Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessSettings:
    """Limits on the age of the catalogue.

    Args:
        max_key_age_s: Maximum age of the last confirmation of the catalogue
            at which keys are admitted.
        margin_s: Subtracted from it for the time between check and send.
    """

    max_key_age_s: float
    margin_s: float = 0.4


class CatalogueView:
    """Holds the catalogue of the highest version received so far.

    If a peer has a higher version, what this host reads from the store
    confirms nothing until it has that version too: the store may have been
    restored from an older copy, in which a withdrawn key is valid.
    """

    def __init__(self, settings: FreshnessSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._confirmed_at = -math.inf
        self._accepted_at = math.inf
        self._peer_version = 0
        self._behind_since = math.inf
        self._peers_awaited_until = -math.inf
        self.catalogue: Catalogue | None = None
        self.table = RouteTable(())

    def replace_settings(self, settings: FreshnessSettings) -> None:
        """Replace the limits."""
        self._settings = settings

    def accept(self, catalogue: Catalogue, sent_at: float) -> bool:
        """Apply a catalogue that was read by a call sent at ``sent_at``.

        Returns:
            Whether it replaced the previous one. A lower version never does.
        """
        known = self.catalogue
        if known is not None and catalogue.version < known.version:
            return False
        self.confirm(sent_at)
        if known is not None and catalogue.version == known.version:
            return False
        self._accepted_at = min(self._accepted_at, self._clock())
        self.catalogue = catalogue
        if catalogue.version >= self._peer_version:
            self._behind_since = math.inf
        self.table = RouteTable(catalogue.routes)
        return True

    def limits(self) -> Limits | None:
        """Return the limits of the catalogue, if there is one."""
        return None if self.catalogue is None else self.catalogue.limits

    def confirm(self, sent_at: float) -> None:
        """Record that no newer version existed when a call was sent."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def await_peers(self, until: float) -> None:
        """Admit no keys before a peer has sent its version, or ``until``.

        A process that has just started can't know whether the store was
        restored; its peers do.
        """
        self._peers_awaited_until = until

    def record_peer_version(self, version: int) -> None:
        """Record the version of the catalogue that a peer has."""
        self._peers_awaited_until = -math.inf
        self._peer_version = max(self._peer_version, version)
        own_version = 0 if self.catalogue is None else self.catalogue.version
        if version > own_version:
            self._behind_since = min(self._behind_since, self._clock())

    def is_behind_peers(self) -> bool:
        """Return whether a peer has a higher version."""
        return not math.isinf(self._behind_since)

    @property
    def confirmed_at(self) -> float:
        """When the call that last confirmed the catalogue was sent.

        Calls count only while no peer is known to have a higher version.
        """
        started_at = self._accepted_at + self._settings.max_key_age_s
        if self._behind_since < started_at:
            # The first version that this process read may be an old one.
            return -math.inf
        return min(self._confirmed_at, self._behind_since)

    def age_s(self) -> float:
        """Return the time since the catalogue was last confirmed."""
        return self._clock() - self.confirmed_at

    def is_fresh(self) -> bool:
        """Return whether keys may be admitted now."""
        if self.catalogue is None:
            return False
        if self._clock() < self._peers_awaited_until:
            return False
        return (
            self.age_s()
            < self._settings.max_key_age_s - self._settings.margin_s
        )
