"""Spreads calls so that a rate is kept."""

from .clock import Clock


class RateLimiter:
    """Lets callers through one by one at a rate.

    Args:
        clock: The clock of the waits.
        rate_per_second: Most callers in a second.
    """

    def __init__(self, clock: Clock, rate_per_second: float) -> None:
        self._clock = clock
        self._interval_s = 1 / rate_per_second
        self._next_at = clock.now()

    async def wait(self) -> None:
        """Return at the caller's turn."""
        turn_at = max(self._clock.now(), self._next_at)
        self._next_at = turn_at + self._interval_s
        await self._clock.sleep_until(turn_at)
