"""Another attempt for a request whose target is silent."""

import asyncio
from collections.abc import Awaitable, Callable

from .attempts import Attempt, ResponseTimeouts, response_timeouts
from .messages import Job
from .open_calls import OpenCall, RequestParts
from .outcomes import Refused
from .run_settings import RunSettings
from .silence import SilenceLimit


class AlternativeAttempt:
    """Runs one more attempt of a request beside that of a silent target.

    Args:
        job: The request.
        settings: Limits.
        parts: What its calls share.
        open_call: Opens the call of an attempt; returns ``None`` if no target
            has accepted it.
    """

    def __init__(
        self,
        job: Job,
        settings: RunSettings,
        parts: RequestParts,
        open_call: Callable[[Attempt], Awaitable[OpenCall | None]],
    ) -> None:
        self._job = job
        self._settings = settings
        self._parts = parts
        self._open_call = open_call
        self._opening: asyncio.Task[None] | None = None
        self._accepted: OpenCall | None = None

    @property
    def is_accepted(self) -> bool:
        """Whether a target has accepted the attempt."""
        return self._accepted is not None

    def limit_for(self, attempt: Attempt) -> SilenceLimit:
        """Return how long the target of an attempt may be silent.

        After that, another attempt begins as soon as one is possible. If the
        target starts again meanwhile, the wait ends.
        """
        repeats = self._parts.send_limit.may_run_again(self._job.route)
        timeouts = response_timeouts(
            self._job.route, attempt, self._settings, may_repeat=repeats
        )
        if not repeats:
            silence_s = self._settings.stream_silence_s
            timeouts = ResponseTimeouts(silence_s, silence_s)
        limit = SilenceLimit(
            timeouts, lambda: self._is_given_up(attempt, limit), self.withdraw
        )
        return limit

    async def wait(self) -> bool:
        """Return whether a target has accepted the attempt, once it is known."""
        if self._opening is not None:
            await asyncio.wait((self._opening,))
        return self.is_accepted

    def take(self) -> OpenCall | None:
        """Return the call that was accepted, which the caller now closes."""
        accepted = self._accepted
        self._accepted = None
        return accepted

    def withdraw(self) -> None:
        """End the attempt: it is not needed."""
        if self._opening is not None:
            self._opening.cancel()
        accepted = self.take()
        if accepted is not None:
            accepted.close()

    async def close(self) -> None:
        """End the attempt with the request, and wait for its end."""
        opening = self._opening
        self.withdraw()
        if opening is not None:
            await asyncio.wait((opening,))

    def _is_given_up(self, attempt: Attempt, limit: SilenceLimit) -> bool:
        """Return whether the wait for the target of an attempt is over.

        It is if another target has accepted the request, if the silent one has
        started again, or if only other hosts reach the service. If no other
        attempt is being made, one begins.
        """
        parts = self._parts
        if parts.selection.is_replaced(attempt.target):
            return True
        has_begun = self._opening is not None or self.is_accepted
        if not has_begun and parts.send_limit.may_run_again(self._job.route):
            parts.recorder.record_silence(attempt)
            if self._may_be_passed_on():
                return True
            if self._may_begin():
                self._begin(parts.avoid | {attempt.target.key}, limit.check)
        return self.is_accepted

    def _may_be_passed_on(self) -> bool:
        """Return whether only other hosts reach the service."""
        return self._may_go_on() and self._parts.selection.may_be_passed_on()

    def _may_begin(self) -> bool:
        """Return whether a run that begins now may serve the caller."""
        parts = self._parts
        if not parts.forwarder.started and not parts.selection.may_complete():
            return False
        return self._may_go_on() and parts.send_limit.has_repeat()

    def _may_go_on(self) -> bool:
        """Return whether another target may take the request over."""
        parts = self._parts
        return (
            parts.forwarder.can_resume()
            and parts.version.is_confirmed()
            and parts.selection.stop_check.may_begin()
        )

    def _begin(self, avoid: set[str], on_accepted: Callable[[], None]) -> None:
        attempt = self._parts.selection.take(avoid, may_be_refused=False)
        if isinstance(attempt, Refused):
            return
        recorded = self._parts.send_limit.recorded_runs
        opening = asyncio.create_task(self._open(attempt, on_accepted))
        opening.add_done_callback(
            lambda _ended: self._forget(opening, recorded)
        )
        self._opening = opening

    def _forget(self, opening: asyncio.Task[None], recorded: int) -> None:
        """Note the end of an attempt, also of one that was never begun.

        Args:
            opening: The task of the attempt.
            recorded: How many runs of the request were recorded before it.
        """
        self._opening = None
        send_limit = self._parts.send_limit
        if opening.cancelled() and send_limit.recorded_runs == recorded:
            # The request was not sent.
            send_limit.release()

    async def _open(
        self, attempt: Attempt, on_accepted: Callable[[], None]
    ) -> None:
        self._accepted = await self._open_call(attempt)
        if self.is_accepted:
            on_accepted()
