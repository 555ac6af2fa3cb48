"""The monotonic clock, as an object so that tests can put another in."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock in seconds and the waiting that goes with it."""

    def now(self) -> float:
        """Return the present instant in seconds since an arbitrary start."""
        ...

    async def sleep_until(self, instant: float) -> None:
        """Return once ``now()`` has reached the instant."""
        ...


class SystemClock:
    """The machine's monotonic clock, which goes on while a process is frozen."""

    def now(self) -> float:
        """Return the present instant in seconds since an arbitrary start."""
        return time.monotonic()

    async def sleep_until(self, instant: float) -> None:
        """Return once ``now()`` has reached the instant."""
        remaining_s = instant - self.now()
        while remaining_s > 0:
            await asyncio.sleep(remaining_s)
            remaining_s = instant - self.now()
