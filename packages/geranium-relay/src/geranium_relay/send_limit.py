"""How often one request may be sent."""

from collections.abc import Callable

from .run_context import RetryShares
from .run_settings import RunSettings


class SendLimit:
    """Counts the sends of one request, and its service's repeats.

    A send whose connection was not made reached no target. It is taken back
    and counts against a bound of its own, so that a target that is gone
    costs neither the request's sends nor the service's repeats.

    Args:
        service: Name of the request's service.
        retries: This host's part of the retry budget.
        settings: Limits.
        clock: Returns the present instant in seconds.
    """

    def __init__(
        self,
        service: str,
        retries: RetryShares,
        settings: RunSettings,
        clock: Callable[[], float],
    ) -> None:
        self.sends = 0
        self._unconnected = 0
        self._service = service
        self._retries = retries
        self._settings = settings
        self._clock = clock

    def take(self) -> bool:
        """Count a send if it is within the limits, and say whether it is."""
        if not self._may_send():
            return False
        self.sends += 1
        return True

    def take_back(self) -> None:
        """Count the last send as one that reached no target."""
        self.sends -= 1
        self._unconnected += 1
        if self.sends:
            self._retries.give_back(self._service)

    def _may_send(self) -> bool:
        if self._unconnected > self._settings.most_unconnected:
            return False
        if self.sends:
            return self.sends < self._settings.most_sends and (
                self._retries.take(self._service, self._clock())
            )
        if not self._unconnected:
            self._retries.record_first(self._service, self._clock())
        return True
