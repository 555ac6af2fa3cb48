"""How long callers have waited before a request of theirs came.

Answers the return of many callers at once, after an outage or a wave of
refusals: a request that has missed its latency objective is worth little
more however soon it is served, while those that come for the first time can
still be in time. A caller that tries again has less time left than callers of
that route usually give, and the difference is what it has waited.
"""

import collections
import dataclasses

MILLISECOND_DIGITS = 3  # after the point, in seconds


@dataclasses.dataclass(frozen=True, slots=True)
class CallerWaitSettings:
    """How the usual patience of a route's callers is learned.

    Args:
        remembered: Requests of a route that are remembered.
        least_agreeing: So many of them give the same time where callers of a
            route usually do; those that come again all give another.
    """

    remembered: int = 32
    least_agreeing: int = 4


class CallerWaitEstimator:
    """Learns how much time the callers of each route give at first."""

    def __init__(self, settings: CallerWaitSettings) -> None:
        self._settings = settings
        self._recent_by_route: dict[str, collections.deque[float]] = {}

    def observe(self, route: str, left_s: float, longest_s: float) -> float:
        """Take in a request and return how long its caller has waited.

        Args:
            route: The route's name.
            left_s: How long the caller still waits, in seconds.
            longest_s: The longest time that the route lets a caller wait;
                taken as what callers give until enough of them were seen.
        """
        recent = self._recent_by_route.get(route)
        if recent is None:
            recent = collections.deque(maxlen=self._settings.remembered)
            self._recent_by_route[route] = recent
        # Times left are differences of instants; callers give milliseconds.
        recent.append(round(left_s, MILLISECOND_DIGITS))
        return max(self._usual(recent, longest_s) - left_s, 0)

    def _usual(
        self,
        recent: collections.deque[float],
        longest_s: float,
    ) -> float:
        """Return the longest time that several callers gave, in seconds.

        Where callers never agree, nothing can be said: 0.
        """
        settings = self._settings
        counts = collections.Counter(recent)
        shared = [
            left
            for left, seen in counts.items()
            if seen >= settings.least_agreeing
        ]
        if shared:
            return max(shared)
        return longest_s if len(recent) < settings.remembered else 0
