"""Clocks: one for deadlines, which includes suspension, and Unix time."""

import asyncio
import time


class BootClock:
    """Seconds since the machine booted, including time in suspension."""

    def now(self) -> float:
        """Return the current time in seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep_until(self, instant: float) -> None:
        """Sleep until ``now()`` has reached the instant."""
        remaining_s = instant - self.now()
        while remaining_s > 0:
            await asyncio.sleep(remaining_s)
            remaining_s = instant - self.now()


class ClusterClock:
    """Unix time that is independent of later steps of the system clock.

    The system clock is read once, at construction. The time is then corrected
    by that of the other hosts.
    """

    def __init__(self, clock: BootClock) -> None:
        self._clock = clock
        self._offset_s = time.time() - clock.now()

    def now(self) -> float:
        """Return Unix time in seconds."""
        return self._clock.now() + self._offset_s

    def adjust(self, by_s: float) -> None:
        """Shift the time by a number of seconds."""
        self._offset_s += by_s
