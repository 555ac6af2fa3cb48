"""The newest catalogue that this host has read, and its freshness."""

import dataclasses
import math
from collections.abc import Callable

from .catalogue import Catalogue, RouteTable

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
    """Holds the catalogue of the highest version received so far."""

    def __init__(self, settings: FreshnessSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._confirmed_at = -math.inf
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
        self.catalogue = catalogue
        self.table = RouteTable(catalogue.routes)
        return True

    def confirm(self, sent_at: float) -> None:
        """Record that no newer version existed when a call was sent."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    @property
    def confirmed_at(self) -> float:
        """When the call that last confirmed the catalogue was sent."""
        return self._confirmed_at

    def age_s(self) -> float:
        """Return the time since the catalogue was last confirmed."""
        return self._clock() - self._confirmed_at

    def is_fresh(self) -> bool:
        """Return whether keys may be admitted now."""
        if self.catalogue is None:
            return False
        return (
            self.age_s()
            < self._settings.max_key_age_s - self._settings.margin_s
        )
