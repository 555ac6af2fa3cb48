"""Retries of idempotent store calls until a deadline."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

from .clock import Clock
from .exceptions import AnswerLostError, StoreError, UnavailableError

_Item = TypeVar('_Item')
_Answer = TypeVar('_Answer')


class Retrier:
    """Retries failed calls after a delay.

    Args:
        clock: The clock of the deadlines.
        delay_s: The delay, unless the store asks for a longer one.
    """

    def __init__(self, clock: Clock, delay_s: float) -> None:
        self._clock = clock
        self._delay_s = delay_s

    async def run(
        self,
        call: Callable[[], Awaitable[_Answer]],
        deadline: float,
    ) -> _Answer:
        """Retry the call until it succeeds or the deadline has passed.

        Raises:
            StoreError: The last failure. A conflict is not retried.
        """
        while True:
            try:
                return await call()
            except (AnswerLostError, UnavailableError) as error:
                if self.is_past(deadline):
                    raise
                await self.back_off(error)

    def is_past(self, deadline: float) -> bool:
        """Return whether the deadline has passed."""
        return self._clock.now() >= deadline

    async def back_off(self, error: StoreError) -> None:
        """Wait before the next try, at least as long as the store asks for."""
        delay_s = self._delay_s
        if isinstance(error, UnavailableError) and error.retry_after_s:
            delay_s = max(delay_s, error.retry_after_s)
        await self._clock.sleep_until(self._clock.now() + delay_s)


async def gather_limited(
    call: Callable[[_Item], Awaitable[_Answer]],
    items: Iterable[_Item],
    limit: int,
) -> list[_Answer]:
    """Call for each item, at most ``limit`` at a time; keep the order."""
    slots = asyncio.Semaphore(limit)
    return list(
        await asyncio.gather(*(_in_slot(slots, call, item) for item in items)),
    )


async def _in_slot(
    slots: asyncio.Semaphore,
    call: Callable[[_Item], Awaitable[_Answer]],
    item: _Item,
) -> _Answer:
    async with slots:
        return await call(item)
