"""The monotonic clock, as an object that tests can replace."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock in seconds that can also wait."""

    def now(self) -> float:
        """Return the current instant in seconds since an arbitrary start."""
        ...

    async def sleep_until(self, instant: float) -> None:
        """Return once ``now()`` has reached the instant."""
        ...


class SystemClock:
    """The host's monotonic clock, which advances while a process is frozen."""

    def now(self) -> float:
        """Return the current instant in seconds since an arbitrary start."""
        return time.monotonic()

    async def sleep_until(self, instant: float) -> None:
        """Return once ``now()`` has reached the instant."""
        remaining_s = instant - self.now()
        while remaining_s > 0:
            await asyncio.sleep(remaining_s)
            remaining_s = instant - self.now()
