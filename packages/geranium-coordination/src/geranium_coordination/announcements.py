"""Tells voters of a withdrawal before it can be accepted."""

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
    """Return once a majority of the voters holds the keys back.

    Args:
        pending: The withdrawal.
        voters: The hosts whose majority is needed.
        send: Hands the withdrawal to a host's replica and returns what its
            ``suspend_keys`` returned; raises ``OSError`` or ``TimeoutError``
            if the host does not answer.
        timeout_s: Time for all of it, in seconds.

    Raises:
        AnnouncementError: If the time was over before.
    """
    missing = len(voters) // 2 + 1
    calls = [asyncio.create_task(_sent(send, host, pending)) for host in voters]
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
    raise AnnouncementError(f'{missing} more voters are needed')


async def _sent(send: _Send, host: str, pending: PendingWithdrawal) -> bool:
    try:
        return await send(host, pending)
    except (OSError, TimeoutError):
        return False
