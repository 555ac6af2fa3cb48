"""Another attempt for a request whose target is silent."""

from .attempt_selection import AttemptSelection
from .attempts import Attempt
from .outcomes import Refused
from .send_limit import SendLimit


class AlternativeAttempt:
    """Reserves another attempt of one request before one is given up.

    Args:
        selection: Selects the attempts of the request.
        send_limit: Counts its sends.
    """

    def __init__(
        self, selection: AttemptSelection, send_limit: SendLimit
    ) -> None:
        self._selection = selection
        self._send_limit = send_limit
        self._reserved: Attempt | None = None

    def reserve(self, avoid: set[str]) -> bool:
        """Reserve an attempt; return whether one is possible now.

        Args:
            avoid: Keys of the silent target and of those that have failed.
        """
        if not self._send_limit.has_repeat():
            return False
        attempt = self._selection.take(avoid, may_be_refused=False)
        if isinstance(attempt, Refused):
            return False
        self._reserved = attempt
        return True

    def release(self) -> None:
        """Return the reserved attempt: it is not needed."""
        self._reserved = None
        self._send_limit.release()

    def take(self) -> Attempt | None:
        """Return the reserved attempt, if there is one, to be made now."""
        reserved = self._reserved
        self._reserved = None
        return reserved
