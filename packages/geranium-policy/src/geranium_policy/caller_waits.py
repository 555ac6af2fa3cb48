"""Estimation of how long a caller has waited before a request arrived.

After an outage or a wave of refusals, many callers retry at once. A retried
request that has missed its latency objective gains little from being served
sooner, while new requests can still be in time. A caller that retries has
less time left than the usual timeout of the route's callers, and the
difference is the time that it has already waited.
"""

import collections
import dataclasses

MILLISECOND_DIGITS = 3  # decimal places of a time in seconds


@dataclasses.dataclass(frozen=True, slots=True)
class CallerWaitSettings:
    """Parameters of the estimate of a route's usual timeout.

    Args:
        sample_size: Number of recent requests kept for each route.
        min_matching: Minimum number of them that must have the same time
            left for it to count as a usual timeout. Retries all have
            different times left.
    """

    sample_size: int = 32
    min_matching: int = 4


class CallerWaitEstimator:
    """Estimates the initial timeout of each route's callers."""

    def __init__(self, settings: CallerWaitSettings) -> None:
        self._settings = settings
        self._recent_by_route: dict[str, collections.deque[float]] = {}

    def observe(self, route: str, left_s: float, longest_s: float) -> float:
        """Record a request and estimate how long its caller has waited.

        Args:
            route: The route's name.
            left_s: Time left until the caller's deadline, in seconds.
            longest_s: Maximum timeout that the route allows, used as the
                usual timeout until enough requests have been recorded.

        Returns:
            The estimated wait in seconds.
        """
        recent = self._recent_by_route.get(route)
        if recent is None:
            recent = collections.deque(maxlen=self._settings.sample_size)
            self._recent_by_route[route] = recent
        # Callers specify milliseconds; rounding removes the floating-point
        # error of the difference of two instants.
        recent.append(round(left_s, MILLISECOND_DIGITS))
        return max(self._usual_timeout_s(recent, longest_s) - left_s, 0)

    def _usual_timeout_s(
        self,
        recent: collections.deque[float],
        longest_s: float,
    ) -> float:
        """Return the longest timeout shared by several callers, in seconds.

        Returns 0 if the sample is complete and no timeout is shared.
        """
        settings = self._settings
        counts = collections.Counter(recent)
        shared = [
            left
            for left, seen in counts.items()
            if seen >= settings.min_matching
        ]
        if shared:
            return max(shared)
        return longest_s if len(recent) < settings.sample_size else 0
