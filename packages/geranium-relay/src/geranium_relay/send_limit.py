"""Limits how often one request is sent."""

from collections.abc import Callable

from .catalogue import Route
from .peer_forwarding import RunProgress
from .run_context import RetryShares
from .run_settings import RunSettings


class SendLimit:
    """Counts the sends of one request and the retries of its service.

    A send that fails to connect reached no target. It counts against a
    separate limit, so that a removed target uses up neither the sends of the
    request nor the retry budget of the service.

    Args:
        service: Name of the request's service.
        retries: This host's share of the retry budget.
        settings: Limits.
        clock: Returns the current time in seconds.
        progress: What another host has done for the request.

    ``runs`` is how often the request may have run.
    """

    def __init__(
        self,
        service: str,
        retries: RetryShares,
        settings: RunSettings,
        clock: Callable[[], float],
        progress: RunProgress,
    ) -> None:
        self.sends = progress.sends
        self.runs = progress.runs
        self.first_recorded = progress.first_recorded
        self._unconnected = 0
        self._service = service
        self._retries = retries
        self._settings = settings
        self._clock = clock

    def take(self) -> bool:
        """Count a send if the limits allow it, and return whether they do."""
        if not self._may_send():
            return False
        self.sends += 1
        return True

    @property
    def has_unreached(self) -> bool:
        """Whether a target did not accept a connection."""
        return self._unconnected > 0

    def may_run_again(self, route: Route) -> bool:
        """Return whether a request of a route may run once more."""
        return route.repeatable and self.runs < route.max_attempts

    def record_forwarded_run(self) -> None:
        """Count a send of another host, which may have run."""
        self.sends += 1
        self.runs += 1

    def remove_forwarded_run(self) -> None:
        """Recount the last send of another host: it has not taken place."""
        self.sends -= 1
        self.runs -= 1

    def refund(self) -> None:
        """Recount the last send as one that reached no target."""
        self.sends -= 1
        self._unconnected += 1
        if self.sends:
            self._retries.refund(self._service)

    def _may_send(self) -> bool:
        if self._unconnected > self._settings.max_unconnected:
            return False
        if self.sends:
            return self.sends < self._settings.max_sends and (
                self._retries.take(self._service, self._clock())
            )
        if not self.first_recorded:
            self.first_recorded = True
            self._retries.record_first(self._service, self._clock())
        return True
