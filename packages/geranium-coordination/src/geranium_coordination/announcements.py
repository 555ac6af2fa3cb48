"""Announces a key withdrawal to the voters before it can be accepted."""

import asyncio
from collections.abc import Awaitable, Callable, Collection
from typing import TypeAlias

from .configuration_changes import PendingWithdrawal
from .configuration_exceptions import AnnouncementError

_Send: TypeAlias = Callable[[str, PendingWithdrawal], Awaitable[bool]]


async def announce_to_voters(
    pending: PendingWithdrawal,
    voters: Collection[str],
    send: _Send,
    timeout_s: float,
) -> None:
    """Wait until a majority of the voters has suspended the keys.

    Args:
        pending: The withdrawal.
        voters: The hosts of which a majority must confirm.
        send: Sends the withdrawal to a host's replica and returns the result
            of its ``suspend_keys``; raises ``OSError`` or ``TimeoutError``
            if the host does not respond.
        timeout_s: Limit on the total time, in seconds.

    Raises:
        AnnouncementError: If no majority confirms within the limit.
    """
    missing = len(voters) // 2 + 1
    calls = [
        asyncio.create_task(_try_send(send, host, pending)) for host in voters
    ]
    try:
        for answer in asyncio.as_completed(calls, timeout=timeout_s):
            missing -= await answer
            if missing <= 0:
                return
    except TimeoutError:
        missing = max(missing, 1)
    finally:
        for call in calls:
            call.cancel()
    raise AnnouncementError(f'{missing} more electors are needed')


async def _try_send(send: _Send, host: str, pending: PendingWithdrawal) -> bool:
    try:
        return await send(host, pending)
    except (OSError, TimeoutError):
        return False
