"""Rate limiting."""

import time
from collections.abc import Callable

BURST_S = 1


class TokenBucket:
    """Token bucket with a burst of one second of the rate.

    Args:
        rate: Units per second; 0 rejects everything.
        clock: Returns monotonic time in seconds.
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
        """Change the rate and refill the bucket if the rate differs."""
        if rate != self._rate:
            self._rate = rate
            self._level = rate * BURST_S

    def take(self, amount: float = 1) -> bool:
        """Take the amount if available and return whether it was.

        An amount above the burst size is admitted once the bucket is full and
        leaves a negative level.
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
