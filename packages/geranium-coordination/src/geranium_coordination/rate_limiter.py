"""Limits the rate of calls by spacing them evenly."""

from .clock import Clock


class RateLimiter:
    """Admits callers one by one at a fixed rate.

    Args:
        clock: The clock that callers wait on.
        rate_per_second: The maximum number of callers per second.
    """

    def __init__(self, clock: Clock, rate_per_second: float) -> None:
        self._clock = clock
        self._interval_s = 1 / rate_per_second
        self._next_at = clock.now()

    async def wait(self) -> None:
        """Wait until the caller is admitted."""
        turn_at = max(self._clock.now(), self._next_at)
        self._next_at = turn_at + self._interval_s
        await self._clock.sleep_until(turn_at)
