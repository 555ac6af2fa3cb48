"""Counts the requests that a stopping host waits for."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator


class OpenRequests:
    """Counts requests from their arrival to the end of their response.

    Args:
        clock: Returns the current time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._idle = asyncio.Event()
        self._idle.set()
        self.count = 0

    @contextlib.contextmanager
    def counted(self) -> Iterator[None]:
        """Count a request until the block ends."""
        self.count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.count -= 1
            if not self.count:
                self._idle.set()

    async def wait_until_idle(self, deadline: float) -> None:
        """Return once no request is open, or at the deadline."""
        left_s = max(deadline - self._clock(), 0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left_s):
                await self._idle.wait()
