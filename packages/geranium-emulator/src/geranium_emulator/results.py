"""The result of an emulated day, as callers experience it."""

import collections
import dataclasses
import statistics
from collections.abc import Iterable

WINDOW_S = 2  # callers judge a day by its worst windows
WORST_SHARE = 0.25  # of the windows
LATE_SHARE = 0.3  # of a request's worth if its first token is late
DAY_WEIGHT = 0.35
WINDOWS_WEIGHT = 0.5
CLASS_WEIGHT = 0.15


@dataclasses.dataclass(slots=True)
class WindowTally:
    """The summed worth of requests, by outcome.

    A tally covers a day, the arrivals of one window, or one class.
    """

    asked: float = 0
    in_time: float = 0
    late: float = 0
    refused: float = 0
    failed: float = 0

    @property
    def served(self) -> float:
        """The share of the worth that was served; 1 without requests."""
        if not self.asked:
            return 1
        return (self.in_time + self.late * LATE_SHARE) / self.asked


class Tallies:
    """Counts requests by the window of their arrival and by class."""

    def __init__(self) -> None:
        self.day = WindowTally()
        self.by_window: dict[int, WindowTally] = collections.defaultdict(
            WindowTally,
        )
        self.by_class: dict[str, WindowTally] = collections.defaultdict(
            WindowTally,
        )

    def count(
        self, name: str, arrived_at: float, field: str, worth: float
    ) -> None:
        """Add a request's worth to ``field`` of all tallies."""
        window = int(arrived_at // WINDOW_S)
        tallies = (self.day, self.by_window[window], self.by_class[name])
        for tally in tallies:
            tally.asked += worth
            setattr(tally, field, getattr(tally, field) + worth)


@dataclasses.dataclass(frozen=True, slots=True)
class DayResult:
    """The result of one day.

    Args:
        served: Share of the worth that was served over the day.
        worst_windows: Mean of this share over the worst windows.
        worst_class: This share for the worst class.
        refused: Share of the worth that was refused.
        failed: Share of the worth that failed.
        fresh_tokens: Prompt tokens that engines computed.
        engine_seconds: Summed uptime of the engines, in seconds.
    """

    served: float
    worst_windows: float
    worst_class: float
    refused: float
    failed: float
    fresh_tokens: int
    engine_seconds: float

    @property
    def worth(self) -> float:
        """The weighted sum of the served shares."""
        worth = DAY_WEIGHT * self.served
        worth += WINDOWS_WEIGHT * self.worst_windows
        return worth + CLASS_WEIGHT * self.worst_class


def summarize(
    tallies: Tallies,
    fresh_tokens: int,
    engine_seconds: float,
) -> DayResult:
    """Return the result of a day from its tallies."""
    day = tallies.day
    asked = day.asked or 1
    windows = sorted(_served(tallies.by_window.values()))
    count = max(int(len(windows) * WORST_SHARE), 1)
    worst = windows[:count]
    return DayResult(
        day.served,
        statistics.mean(worst) if worst else 1,
        min(_served(tallies.by_class.values()), default=1),
        day.refused / asked,
        day.failed / asked,
        fresh_tokens,
        engine_seconds,
    )


def _served(tallies: Iterable[WindowTally]) -> list[float]:
    return [tally.served for tally in tallies]
