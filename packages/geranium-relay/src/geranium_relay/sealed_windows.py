"""Windows of usage that are known to be sealed, apart from the store.

A store that is restored from an older copy may lack the seal of a window that
was reported. Reporting it again, from counts that were lost in part, would
give it a second figure. The hosts therefore remember which windows are sealed
and tell each other.
"""

import dataclasses
from collections.abc import Callable, Mapping

KEPT_FIGURES = 8  # windows; none is reported as late as this


@dataclasses.dataclass(frozen=True, slots=True)
class MayBeSealed:
    """Another host may have sealed the window; only its seal can be used."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotSealed:
    """No host has sealed the window."""


@dataclasses.dataclass(frozen=True, slots=True)
class SealedHere:
    """This host sealed the window with these counts."""

    counts_by_team: Mapping[str, int]


SealState = MayBeSealed | NotSealed | SealedHere


class SealedWindows:
    """The sealed windows that this host and its peers know of.

    Args:
        first_era: Returns the era of the store at the start of this process.
    """

    def __init__(self, first_era: Callable[[], int]) -> None:
        self.through = 0
        self._first_era = first_era
        self._counts_by_window: dict[int, Mapping[str, int]] = {}

    def record(self, window: int, counts_by_team: Mapping[str, int]) -> None:
        """Record a window that this host has sealed."""
        self.through = max(self.through, window)
        self._counts_by_window[window] = counts_by_team
        if len(self._counts_by_window) > KEPT_FIGURES:
            self._counts_by_window.pop(min(self._counts_by_window))

    def record_peer(self, through: int) -> None:
        """Record the last sealed window that a peer knows of."""
        self.through = max(self.through, through)

    def state(self, window: int) -> SealState:
        """Return what is known of a window."""
        counts_by_team = self._counts_by_window.get(window)
        if counts_by_team is not None:
            return SealedHere(counts_by_team)
        return MayBeSealed() if window <= self.through else NotSealed()

    def covers(self, era: int) -> bool:
        """Return whether this process has run since an era of the store.

        Seals of earlier eras may be unknown to it.
        """
        return self._first_era() <= era
