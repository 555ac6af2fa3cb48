"""The clock of all deadlines: it goes on while a machine is suspended."""

import asyncio
import time


class BootClock:
    """Seconds since the machine started, time in suspension included."""

    def now(self) -> float:
        """Return the present instant in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep_until(self, instant: float) -> None:
        """Return once ``now()`` has reached the instant."""
        remaining_s = instant - self.now()
        while remaining_s > 0:
            await asyncio.sleep(remaining_s)
            remaining_s = instant - self.now()


class ClusterClock:
    """Unix time that ignores later steps of the machine's time of day.

    The time of day is read once, at construction, and corrected by what
    other hosts say.
    """

    def __init__(self, clock: BootClock) -> None:
        self._clock = clock
        self._offset_s = time.time() - clock.now()

    def now(self) -> float:
        """Return Unix time in seconds."""
        return self._clock.now() + self._offset_s

    def adjust(self, by_s: float) -> None:
        """Move the time by so many seconds."""
        self._offset_s += by_s
