"""Limits how often one request is sent."""

from collections.abc import Callable

from geranium_policy.retry_share import RetryKind, RetryPermit

from .catalogue import Route
from .outcomes import CallsMade
from .peer_forwarding import RunProgress
from .prefill_permits import PrefillPermits
from .retry_shares import RetryShares
from .run_settings import RunSettings


class SendLimit:
    """Counts the calls for one request and the retries of its service.

    Every call beyond the first takes a permit from the retry budget of the
    service: runs, and prefill calls other than the first that is accepted. A
    send that fails to connect reached no target. It counts against a separate
    limit, so that a removed target uses up neither the sends of the request
    nor the retry budget.

    Args:
        service: Name of the request's service.
        retries: This host's share of the retry budget.
        settings: Limits.
        clock: Returns the current time in seconds.
        progress: What another host has done for the request.

    ``runs`` is how often the request may have run, ``recorded_runs`` how often
    this host has begun to send it, ``runs_before`` how often it may have run
    when this host got it, ``crashed_runs`` how many of this host's runs ended
    because their target crashed.
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
        self.recorded_runs = 0
        self.crashed_runs = 0
        self.first_recorded = progress.first_recorded
        self.runs_before = progress.runs
        self.prefill = PrefillPermits(
            service, retries, clock, accepted=progress.prefilled
        )
        self._unconnected = 0
        self._service = service
        self._retries = retries
        self._settings = settings
        self._clock = clock
        self._run_permit: RetryPermit | None = None

    def close(self) -> None:
        """Return the permits that were not used: the request has ended."""
        self._discard_permit()
        self.prefill.close()

    def take(self) -> bool:
        """Count a send if the limits allow it, and return whether they do."""
        if not self._may_send():
            return False
        self.sends += 1
        return True

    def release(self) -> None:
        """Recount the last send as one that does not take place."""
        self.sends -= 1
        self.close()

    def has_repeat(self) -> bool:
        """Return whether the request may be sent once more."""
        if self.sends >= self._settings.max_sends:
            return False
        state = self._retries.state(self._service, self._clock())
        return state.has_left(RetryKind.RUN)

    def may_prefill(self) -> bool:
        """Return whether the next send may begin with a prefill call."""
        return self.prefill.are_left(2 if self.sends else 1)

    @property
    def has_unreached(self) -> bool:
        """Whether a target did not accept a connection."""
        return self._unconnected > 0

    def may_run_again(self, route: Route) -> bool:
        """Return whether a request of a route may run once more.

        Runs that ended because their target crashed are no attempts: it can't
        run the request any more. The retry budget counts them.
        """
        attempts = self.runs - self.crashed_runs
        return route.repeatable and attempts < route.max_attempts

    def record_run(self) -> None:
        """Record that the request is sent to be run now."""
        self.runs += 1
        self.recorded_runs += 1
        if self._run_permit is not None:
            self._retries.use(self._service, self._run_permit, self._clock())

    def record_forwarded_run(self) -> None:
        """Count a send of another host, which may have run."""
        self.sends += 1
        self.runs += 1

    def remove_forwarded_run(self) -> None:
        """Recount the last send of another host: it has not taken place."""
        self.sends -= 1
        self.runs -= 1

    def calls_made(self, *, counted: bool) -> CallsMade:
        """Return what was sent for the request.

        Args:
            counted: Whether it was counted for usage.
        """
        return CallsMade(
            self.sends,
            self.runs,
            self.first_recorded,
            self.prefill.accepted,
            counted,
        )

    def add_calls(self, calls: CallsMade) -> None:
        """Add what another host has sent, which began with what was sent here.

        Hosts of older builds say nothing of it.
        """
        self.sends = max(self.sends, calls.sends)
        self.runs = max(self.runs, calls.runs)
        self.first_recorded |= calls.first_recorded
        self.prefill.accepted |= calls.prefilled

    def refund(self) -> None:
        """Recount the last send as one that reached no target."""
        self.sends -= 1
        self._unconnected += 1
        if self._run_permit is not None:
            self._retries.refund(self._service, self._run_permit)

    def _may_send(self) -> bool:
        self._discard_permit()
        if self._unconnected > self._settings.max_unconnected:
            return False
        if self.sends:
            if self.sends < self._settings.max_sends:
                self._run_permit = self._retries.take(
                    self._service, RetryKind.RUN, self._clock()
                )
            return self._run_permit is not None
        if not self.first_recorded:
            self.first_recorded = True
            self._retries.record_first(self._service, self._clock())
        return True

    def _discard_permit(self) -> None:
        if self._run_permit is not None:
            self._retries.discard(self._service, self._run_permit)
            self._run_permit = None
