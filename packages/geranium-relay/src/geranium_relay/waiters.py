"""Tasks that wait for news until a condition holds."""

import asyncio
from collections.abc import Callable


class Waiters:
    """Tasks that check a condition again whenever there is news.

    Args:
        clock: Returns the current time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._events: set[asyncio.Event] = set()

    def wake(self) -> None:
        """Let all tasks check their conditions."""
        for event in self._events:
            event.set()

    async def wait_until(
        self, condition: Callable[[], bool], ends_at: float
    ) -> bool:
        """Wait for a condition, until an instant.

        Returns:
            Whether it holds.
        """
        event = asyncio.Event()
        self._events.add(event)
        try:
            async with asyncio.timeout(max(ends_at - self._clock(), 0)):
                while not condition():
                    event.clear()
                    await event.wait()
        except TimeoutError:
            return condition()
        finally:
            self._events.discard(event)
        return True
