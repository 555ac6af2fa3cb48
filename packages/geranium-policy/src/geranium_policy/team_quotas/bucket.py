"""A token bucket of the part of a limit that a broker has."""

from .delegations import Delegations
from .limits import QuotaLimit


class QuotaBucket:
    """A bucket that fills by the shares that are delegated.

    It starts empty: what an earlier process has spent isn't known.

    Args:
        limit: The limit of all hosts together.
        delegations: The shares of the broker, advanced to the current time.
    """

    def __init__(self, limit: QuotaLimit, delegations: Delegations) -> None:
        self._limit = limit
        self._delegations = delegations
        self._filled_to = delegations.share_seconds
        self.level: float = 0

    @property
    def capacity(self) -> float:
        """The burst of the shares."""
        return self._limit.burst * self._delegations.share

    @property
    def rate_per_s(self) -> float:
        """The rate of the shares."""
        return self._limit.rate_per_s * self._delegations.share

    @property
    def fill(self) -> float:
        """Level as a share of the capacity; 0 for a debt."""
        return max(self.level, 0) / self.capacity if self.capacity else 0

    def settle(self) -> None:
        """Add what has accrued, up to the capacity.

        It must be called whenever the shares change: what was beyond the
        capacity before the change must not come back with a higher one.
        """
        reached = self._delegations.share_seconds
        accrued = self._limit.rate_per_s * (reached - self._filled_to)
        self._filled_to = reached
        self.level = min(self.level + accrued, self.capacity)

    def fill_up(self) -> None:
        """Fill it to the capacity."""
        self.level = self.capacity

    def replace_limit(self, limit: QuotaLimit) -> None:
        """Apply another limit; the level stays, up to the new capacity."""
        self.settle()
        self._limit = limit
        self.level = min(self.level, self.capacity)
