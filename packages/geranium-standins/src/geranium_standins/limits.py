"""Rate limits."""

import time
from collections.abc import Callable

BURST_S = 1


class TokenBucket:
    """Admits ``rate`` units a second, and a second's worth at once.

    Args:
        rate: Units a second; 0 admits nothing.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        rate: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._rate = rate
        self._clock = clock
        self._level = rate * BURST_S
        self._filled_at = clock()

    def change_rate(self, rate: float) -> None:
        """Change the rate; a new rate starts with a full bucket."""
        if rate != self._rate:
            self._rate = rate
            self._level = rate * BURST_S

    def take(self, amount: float = 1) -> bool:
        """Take the amount if it is there, and tell whether it was.

        An amount above a second's worth passes once the bucket is full.
        """
        now = self._clock()
        burst = self._rate * BURST_S
        refill = (now - self._filled_at) * self._rate
        self._level = min(burst, self._level + refill)
        self._filled_at = now
        if self._rate <= 0 or self._level < min(amount, burst):
            return False
        self._level -= amount
        return True
