"""When refused requests of a team should return."""

from collections.abc import Sequence

from .bucket import QuotaBucket


class RetryTimes:
    """Spreads the refused requests of a team over the time to come.

    Each refused request takes the time in which its tokens accrue. Requests
    that would all return at the first moment would be refused again.

    Args:
        max_s: The longest wait; later ones begin again with the first.
    """

    def __init__(self, max_s: float) -> None:
        self._max_s = max_s
        self._next_at: float = 0

    def plan(
        self, bucket: QuotaBucket, costs: Sequence[int], now: float
    ) -> tuple[float, float]:
        """Return between which waits refused requests should return."""
        rate_per_s = bucket.rate_per_s
        if not rate_per_s:
            return self._max_s / 2, self._max_s
        wait_s = max(min(costs) - bucket.level, 0) / rate_per_s
        wait_s = min(wait_s, self._max_s)
        first_at = max(now + wait_s, self._next_at)
        if first_at > now + self._max_s:
            first_at = now + wait_s
        self._next_at = first_at + sum(costs) / rate_per_s
        until_at = min(self._next_at, max(first_at, now + self._max_s))
        return first_at - now, until_at - now
