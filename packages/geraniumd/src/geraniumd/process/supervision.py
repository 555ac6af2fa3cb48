"""Restarts long-running tasks of the daemon that fail."""

import asyncio
from collections.abc import Awaitable, Callable

from .logs import get_logger

_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 30


async def supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns and restart it after each failure.

    Unexpected exceptions are logged with their traceback. Without the
    restart a daemon would look healthy while one of its tasks is dead.
    """
    log = get_logger()
    pause_s = _INITIAL_BACKOFF_S
    while True:
        try:
            await run()
        except Exception:
            log.exception('task_failed', task=name, pause_s=pause_s)
        else:
            return
        await asyncio.sleep(pause_s)
        pause_s = min(pause_s * 2, _MAX_BACKOFF_S)
