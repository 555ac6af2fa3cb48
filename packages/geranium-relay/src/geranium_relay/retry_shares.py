"""This host's shares of the retry budgets of all services."""

import math
from collections.abc import Callable

from geranium_policy.retry_share import (
    RetryKind,
    RetryPermit,
    RetryShare,
    RetryShareSettings,
    RetryShareState,
)


class RetryShares:
    """This host's share of the retry budget of each service.

    Args:
        settings: The retry budget of a service, of all hosts together.
        hosts: Returns the number of hosts that share its allowance.
        started_at: Start of this process; ``-inf`` if none ran before it.
    """

    def __init__(
        self,
        settings: RetryShareSettings,
        hosts: Callable[[], int],
        started_at: float = -math.inf,
    ) -> None:
        self._settings = settings
        self._hosts = hosts
        self._started_at = started_at
        self._shares_by_service: dict[str, RetryShare] = {}

    def replace_settings(self, settings: RetryShareSettings) -> None:
        """Replace the budget settings; sent requests stay counted."""
        self._settings = settings
        for share in self._shares_by_service.values():
            share.settings = settings

    def record_first(self, service: str, now: float) -> None:
        """Count the first send of a request to a service."""
        self._share(service).record_first(now)

    def take(
        self, service: str, kind: RetryKind, now: float
    ) -> RetryPermit | None:
        """Take a permit for one more call, if the budget has one left."""
        return self._share(service).take(kind, self._hosts(), now)

    def use(self, service: str, permit: RetryPermit, now: float) -> None:
        """Record that the call of a permit is sent now."""
        self._share(service).use(permit, now)

    def refund(self, service: str, permit: RetryPermit) -> None:
        """Return a permit to the budget: its call does not count."""
        self._share(service).refund(permit)

    def discard(self, service: str, permit: RetryPermit) -> None:
        """Return a permit to the budget unless its call was sent."""
        self._share(service).discard(permit)

    def state(self, service: str, now: float) -> RetryShareState:
        """Return how much of the share of a service is used."""
        return self._share(service).state(self._hosts(), now)

    def recent_repeats(self) -> int:
        """Return the number of retries that count against the budget now."""
        shares = self._shares_by_service.values()
        return sum(share.recent_repeats for share in shares)

    def _share(self, service: str) -> RetryShare:
        share = self._shares_by_service.get(service)
        if share is None:
            share = RetryShare(self._settings, self._started_at)
            self._shares_by_service[service] = share
        return share
