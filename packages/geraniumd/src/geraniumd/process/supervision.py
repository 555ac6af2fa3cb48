"""Keeps the daemon's long-running tasks going."""

import asyncio
from collections.abc import Awaitable, Callable

from .logs import get_logger

_FIRST_PAUSE_S = 0.5
_LONGEST_PAUSE_S = 30


async def supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns; start it again if it fails.

    An error that nobody expected is logged with its traceback. Without
    this a failed task would leave a daemon that looks whole and is not.
    """
    log = get_logger()
    pause_s = _FIRST_PAUSE_S
    while True:
        try:
            await run()
        except Exception:
            log.exception('task_failed', task=name, pause_s=pause_s)
        else:
            return
        await asyncio.sleep(pause_s)
        pause_s = min(pause_s * 2, _LONGEST_PAUSE_S)
