"""The newest catalogue that this host knows, and until when it is fresh."""

import dataclasses
import math
from collections.abc import Callable

from .catalogue import Catalogue, RouteTable

Clock = Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessSettings:
    """How old knowledge may be.

    Args:
        max_key_age_s: Keys are admitted so long after the catalogue was confirmed.
        margin_s: Taken off that for the work between check and send.
    """

    max_key_age_s: float
    margin_s: float = 0.4


class CatalogueView:
    """Holds the catalogue of the highest version that was ever seen."""

    def __init__(self, settings: FreshnessSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._confirmed_at = -math.inf
        self.catalogue: Catalogue | None = None
        self.table = RouteTable(())

    def replace_settings(self, settings: FreshnessSettings) -> None:
        """Put other bounds in force."""
        self._settings = settings

    def accept(self, catalogue: Catalogue, sent_at: float) -> bool:
        """Take in a catalogue that was read by a call sent at an instant.

        Returns:
            Whether it replaced the former one. A lower version never does.
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
        """Note that no newer version stood when a call was sent."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    @property
    def confirmed_at(self) -> float:
        """When a call was sent that last confirmed the catalogue."""
        return self._confirmed_at

    def age_s(self) -> float:
        """Return the time since the catalogue was last confirmed."""
        return self._clock() - self._confirmed_at

    def is_fresh(self) -> bool:
        """Say whether keys may be admitted at this instant."""
        if self.catalogue is None:
            return False
        return (
            self.age_s()
            < self._settings.max_key_age_s - self._settings.margin_s
        )
