"""Waits of tests for what has to happen, with a generous limit."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable


async def wait_for(condition: Callable[[], Awaitable[bool]]) -> None:
    """Return once a condition holds; fail after a generous time."""
    async for _ in ticks():
        if await condition():
            return


async def ticks() -> AsyncIterator[None]:
    """Come back many times a second; fail after a generous time."""
    async with asyncio.timeout(40):
        while True:
            yield
            await asyncio.sleep(0.02)
