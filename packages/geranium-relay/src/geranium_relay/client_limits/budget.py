"""Decides who may hold bytes, and who gives them up, without I/O."""

import dataclasses
import math
from collections.abc import Callable

NO_MEMORY = 'no memory'
WINDOW_S = 1.0  # progress is what moved in this window and the one before
# 0.12 left 6 of 200 MB when half-closed connections freed many bodies at once.
_HEADROOM_SHARE = 0.18  # of the memory: allocator, interpreter, own state
_MIN_HEADROOM_BYTES = 16_000_000
_MIN_BUDGET_BYTES = 8_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetSettings:
    """Sizes of the budget of a host.

    Args:
        total_bytes: What all accounts hold together.
        small_bytes: Accounts that hold no more than this may use the whole
            budget, larger ones may not use the part kept for small ones.
        small_share: The part of the budget that is kept for small accounts.
        min_evicted_bytes: Accounts that hold less are not worth evicting: a
            connection without a request holds about 10 kB.
    """

    total_bytes: int
    small_bytes: int = 65536
    small_share: float = 0.25
    min_evicted_bytes: int = 16384


def budget_settings(memory_bytes: int, resident_bytes: int) -> BudgetSettings:
    """Return the budget of a process.

    Args:
        memory_bytes: Size at which the process is killed.
        resident_bytes: What the process holds without clients.
    """
    headroom = max(memory_bytes * _HEADROOM_SHARE, _MIN_HEADROOM_BYTES)
    free_bytes = int(memory_bytes - resident_bytes - headroom)
    return BudgetSettings(max(free_bytes, _MIN_BUDGET_BYTES))


class Account:
    """What is held for one connection, and how much of it moves.

    Args:
        evict: Ends what the bytes are held for; ``None`` if nothing may.
        clock: Returns the current time in seconds.
        owner: Name of what the connection belongs to.

    ``active_at`` is when the other end last sent or took bytes.
    """

    def __init__(
        self,
        evict: Callable[[], None] | None,
        clock: Callable[[], float],
        owner: str = '',
    ) -> None:
        self.evict = evict
        self.owner = owner
        self.held_bytes = 0  # by requests
        self.buffered_bytes = 0  # by the connection, as last measured
        self.backlog_bytes = 0  # held by another account for this one
        self.is_evicted = False
        self.waiting_since: float | None = None
        self._clock = clock
        self.active_at = clock()
        self._window_at = self.active_at
        self._moved = 0
        self._moved_before = 0

    @property
    def total_bytes(self) -> int:
        """What counts against the budget."""
        return self.held_bytes + self.buffered_bytes

    def record_progress(self, moved_bytes: int) -> None:
        """Record bytes that the other end has sent or taken."""
        self.touch()
        self._rotate(self.active_at)
        self._moved += moved_bytes

    def touch(self) -> None:
        """Record that what the connection was used for has ended."""
        self.active_at = self._clock()

    def stall_weight(self) -> float:
        """Return how much is held for each byte that has moved lately.

        The time in which the host itself does not read counts for nothing.
        """
        waiting_since = self.waiting_since
        self._rotate(self._clock() if waiting_since is None else waiting_since)
        moved_bytes = self._moved + self._moved_before
        return (self.total_bytes + self.backlog_bytes) / (moved_bytes + 1)

    def _rotate(self, now: float) -> None:
        elapsed_s = now - self._window_at
        if elapsed_s < WINDOW_S:
            return
        recent = elapsed_s < WINDOW_S + WINDOW_S
        self._moved_before = self._moved if recent else 0
        self._moved = 0
        self._window_at = now


class MemoryBudget:
    """The bytes that a host may hold, and the accounts that hold them.

    Args:
        settings: Sizes.
        clock: Returns the current time in seconds.
    """

    def __init__(
        self, settings: BudgetSettings, clock: Callable[[], float]
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._accounts: set[Account] = set()
        self._large_limit = int(
            settings.total_bytes * (1 - settings.small_share)
        )
        self.used_bytes = 0
        self.evicting_bytes = 0
        self.on_evict: Callable[[Account, str], None] | None = None

    @property
    def total_bytes(self) -> int:
        """The size of the budget."""
        return self._settings.total_bytes

    def open(
        self, evict: Callable[[], None] | None, owner: str = ''
    ) -> Account:
        """Return a new account, which holds nothing."""
        account = Account(evict, self._clock, owner)
        self._accounts.add(account)
        return account

    def close(self, account: Account) -> None:
        """Release all that an account holds."""
        if account not in self._accounts:
            return
        self._accounts.discard(account)
        self._add(account, -account.total_bytes)
        account.held_bytes = 0
        account.buffered_bytes = 0

    def try_hold(self, account: Account, size: int) -> bool:
        """Hold more bytes if the budget has them; return whether it has."""
        limit = self._limit_of(account, size)
        if self.used_bytes + size > limit:
            return False
        self.hold(account, size)
        return True

    def hold(self, account: Account, size: int) -> None:
        """Hold more bytes whether or not the budget has them."""
        if account in self._accounts:
            account.held_bytes += size
            self._add(account, size)

    def release(self, account: Account, size: int) -> None:
        """Hold fewer bytes."""
        self.hold(account, -min(size, account.held_bytes))

    def set_buffered(self, account: Account, size: int) -> None:
        """Record what the buffers of a connection hold now."""
        if account in self._accounts:
            grown = size - account.buffered_bytes
            account.buffered_bytes = size
            self._add(account, grown)

    def evict_for(self, account: Account | None, size: int) -> Account | None:
        """Evict the account with the least progress for what it holds.

        Nothing is evicted if the bytes of those that are on their way out are
        enough.

        Args:
            account: Which waits for bytes; ``None`` if the buffers of
                connections have outgrown the budget.
            size: How many.
        """
        limit = self.total_bytes
        if account is not None:
            limit = self._limit_of(account, size)
        if self.used_bytes - self.evicting_bytes + size <= limit:
            return None
        victim = max(self._accounts, key=self._eviction_weight, default=None)
        if victim is None or not math.isfinite(self._eviction_weight(victim)):
            return None
        self.evict(victim, NO_MEMORY)
        return victim

    def evict(self, account: Account, cause: str) -> None:
        """End what an account's bytes are held for, and say why."""
        if account.evict is None or account.is_evicted:
            return
        account.is_evicted = True
        self.evicting_bytes += account.total_bytes
        if self.on_evict is not None:
            self.on_evict(account, cause)
        account.evict()

    def _limit_of(self, account: Account, size: int) -> int:
        small = account.held_bytes + size <= self._settings.small_bytes
        return self.total_bytes if small else self._large_limit

    def _add(self, account: Account, size: int) -> None:
        self.used_bytes += size
        if account.is_evicted:
            self.evicting_bytes += size

    def _eviction_weight(self, account: Account) -> float:
        if account.evict is None or account.is_evicted:
            return -math.inf
        held_bytes = account.total_bytes + account.backlog_bytes
        if held_bytes < self._settings.min_evicted_bytes:
            return -math.inf
        return account.stall_weight()
