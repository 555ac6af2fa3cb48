"""Lets tasks wait until the budget has the bytes that they need."""

import asyncio
from collections.abc import Callable

from .budget import Account, MemoryBudget

POLL_S = 0.03
EVICT_DELAY_S = 0.25  # an account waits so long before another is evicted


class RefusedBytesError(Exception):
    """The account has been evicted."""


class BudgetGate:
    """Grants bytes as they arrive.

    Args:
        budget: The budget.
        clock: Returns the current time in seconds.
    """

    def __init__(
        self, budget: MemoryBudget, clock: Callable[[], float]
    ) -> None:
        self.budget = budget
        self._clock = clock
        self._preferred: Account | None = None

    def release(self, account: Account) -> None:
        """Release all that an account holds."""
        self.budget.close(account)
        if self._preferred is account:
            self._preferred = None

    async def hold(self, account: Account, size: int) -> None:
        """Hold more bytes; return once the budget has them.

        Raises:
            RefusedBytesError: If the account has been evicted.
        """
        if account.is_evicted:
            raise RefusedBytesError
        if self.budget.try_hold(account, size):
            return
        account.waiting_since = self._clock()
        try:
            await self._wait(account, size)
        finally:
            account.waiting_since = None

    async def _wait(self, account: Account, size: int) -> None:
        evicts_at = self._clock() + EVICT_DELAY_S
        while not self.budget.try_hold(account, size):
            if self._clock() >= evicts_at:
                self.budget.evict_for(account, size)
                if self._prefers(account):
                    self.budget.hold(account, size)
                    return
            if account.is_evicted:
                raise RefusedBytesError
            await asyncio.sleep(POLL_S)

    def _prefers(self, account: Account) -> bool:
        """Return whether an account gets its bytes beyond the budget.

        Accounts that can't be evicted could wait for each other for ever, so
        one of them at a time does until it is released.
        """
        if account.evict is None and self._preferred is None:
            self._preferred = account
        return self._preferred is account
