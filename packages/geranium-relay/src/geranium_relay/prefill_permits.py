"""Permits of one request for prefill calls on other engines."""

from collections.abc import Callable

from geranium_policy.retry_share import RetryKind, RetryPermit

from .retry_shares import RetryShares


class PrefillPermits:
    """Takes prefill calls from the retry budget of a service.

    The first prefill call of a request that an engine accepts is free. Whether
    an engine accepts a call is known only afterwards, so each call takes a
    permit, which is returned if the call was that one or reached no engine.

    Args:
        service: Name of the request's service.
        retries: This host's share of the retry budget.
        clock: Returns the current time in seconds.
        accepted: Whether an engine has accepted a call of another host.
    """

    def __init__(
        self,
        service: str,
        retries: RetryShares,
        clock: Callable[[], float],
        *,
        accepted: bool,
    ) -> None:
        self.accepted = accepted
        self._service = service
        self._retries = retries
        self._clock = clock
        self._permit: RetryPermit | None = None

    def are_left(self, permits: int) -> bool:
        """Return whether the budget has a number of permits left."""
        state = self._retries.state(self._service, self._clock())
        return state.has_left(RetryKind.PREFILL, permits)

    def take(self) -> bool:
        """Take a permit for a call; return whether there was one."""
        self.close()
        self._permit = self._retries.take(
            self._service, RetryKind.PREFILL, self._clock()
        )
        return self._permit is not None

    def record_call(self) -> None:
        """Record that the call is sent now."""
        if self._permit is not None:
            self._retries.use(self._service, self._permit, self._clock())

    def record_accepted(self) -> bool:
        """Record that the call was accepted; return whether it is free."""
        if self.accepted:
            return False
        self.accepted = True
        self.refund()
        return True

    def refund(self) -> None:
        """Return the permit: the call does not count."""
        if self._permit is not None:
            self._retries.refund(self._service, self._permit)

    def close(self) -> None:
        """Return the permit unless the call was sent."""
        if self._permit is not None:
            self._retries.discard(self._service, self._permit)
