"""An event loop whose time jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _Selector(selectors.DefaultSelector):
    loop: 'VirtualLoop'

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('nothing is left to wait for')
        self.loop.virtual_now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.virtual_now: float = 0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.virtual_now


def run(main: Coroutine[Any, Any, Any]) -> Any:
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


class LoopClock:
    """The virtual loop's time as a :class:`Clock`."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def sleep_until(self, instant: float) -> None:
        await asyncio.sleep(instant - self.now())
        if self.now() < instant:
            await self.sleep_until(instant)
