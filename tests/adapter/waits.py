"""Helpers that wait for a condition, with a timeout of 40 s."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable


async def wait_for(condition: Callable[[], Awaitable[bool]]) -> None:
    """Return once a condition holds; fail after 40 s."""
    async for _ in ticks():
        if await condition():
            return


async def ticks() -> AsyncIterator[None]:
    """Yield every 20 ms; fail after 40 s."""
    async with asyncio.timeout(40):
        while True:
            yield
            await asyncio.sleep(0.02)
