"""Selects the next attempt of a request, within its limits."""

import dataclasses

from geranium_policy.retry_share import RetryKind

from .attempts import Attempt
from .catalogue import Service
from .crash_suspicion import CrashCheck
from .messages import Job
from .outcomes import Refused
from .request_recorder import record_busy, record_repeat
from .run_context import RunContext
from .run_settings import RunSettings
from .send_limit import SendLimit
from .stop_check import StopCheck
from .stream_origins import StreamVersion
from .target_selector import (
    NoEngine,
    Placement,
    PlacementDecision,
    TooBusy,
)
from .targets import Target


class AttemptSelection:
    """Selects targets for the attempts of one request.

    Args:
        job: The request.
        service: The service that runs it.
        context: The components of the host.
        settings: Limits.
        version: The version at which its stream may go on.
        send_limit: Counts its sends.

    ``stop_check`` refuses the request if this host stops too soon.
    """

    def __init__(
        self,
        job: Job,
        service: Service,
        context: RunContext,
        settings: RunSettings,
        version: StreamVersion,
        send_limit: SendLimit,
    ) -> None:
        self._job = job
        self._service = service
        self._context = context
        self._settings = settings
        self._version = version
        self._send_limit = send_limit
        self._crash_check = CrashCheck(job, context, settings, send_limit)
        self.stop_check = StopCheck(job, context, settings, send_limit)
        self._refusing: frozenset[str] = frozenset()
        self._may_be_refused = True

    def take(
        self, avoid: set[str], *, may_be_refused: bool = True
    ) -> Attempt | Refused:
        """Return the next attempt, counted against the limits.

        Args:
            avoid: Keys of targets that have failed the request.
            may_be_refused: Whether a target that has just refused requests is
                better than none.

        Returns:
            The refusal if no attempt is possible.
        """
        refusals = self._context.selector.refusals
        self._refusing = refusals.refusing(self._context.clock())
        self._may_be_refused = may_be_refused
        attempt = self._next_attempt(avoid)
        if isinstance(attempt, Refused):
            return attempt
        repeated = self._send_limit.sends > 0
        taken = self._send_limit.take()
        if repeated:
            record_repeat(self._job, self._context, RetryKind.RUN, taken=taken)
        if not taken:
            return self._refuse('no repeat left', avoid)
        if attempt.reader is not None and not self._send_limit.prefill.take():
            attempt = dataclasses.replace(attempt, reader=None)
        self._crash_check.begin_trial()
        return attempt

    def may_complete(self) -> bool:
        """Return whether a run that begins now may end by the deadline."""
        return self._context.shutdown.may_complete(self._job)

    def may_be_passed_on(self) -> bool:
        """Return whether another host, and not this one, reaches targets."""
        service = self._job.service
        if self._job.forwarded or not self._context.reach.is_cut(service):
            return False
        return self._context.peer_client.choose(service, ()) is not None

    def is_replaced(self, target: Target) -> bool:
        """Return whether a target has started again, so that its calls ended."""
        fleet = self._context.selector.fleet
        listed = fleet.targets_by_identity.get(target.identity)
        return listed is not None and listed.born_ms > target.born_ms

    def refusal(self, started_at: float) -> Refused | None:
        """Return a refusal if the request must not be sent to any target.

        It is known to crash targets, or outlives this host.

        Args:
            started_at: When the attempt begins or has begun.
        """
        refusal = self.stop_check.refusal(started_at)
        return refusal or self._crash_check.refusal()

    def refuse_unreached(self) -> Refused:
        """Return the refusal of a request whose targets are not reached."""
        refusal = self.stop_check.refusal(self._context.clock())
        return refusal or Refused(
            'targets not reached', self._settings.retry_after_s, elsewhere=True
        )

    def _next_attempt(self, avoid: set[str]) -> Attempt | Refused:
        now = self._context.clock()
        if self._job.deadline - now < self._settings.min_time_left_s:
            return Refused('no time left', self._settings.retry_after_s)
        refusal = self.refusal(now)
        if refusal is not None:
            return refusal
        decision = self._select(avoid)
        match decision:
            case Placement():
                return self._make_attempt(decision, now)
            case TooBusy(free_in_s=free_in_s):
                record_busy(self._job, self._context, avoid, free_in_s)
                return self._refuse('engines busy', avoid, free_in_s)
            case NoEngine():
                return self._refuse('no target', avoid)

    def _select(self, failed: set[str]) -> PlacementDecision:
        """Select targets, if possible beside those that just refused requests.

        Prompts are prefilled by the engines that generate rather than by one
        of those.
        """
        avoid = self._version.excluded() | failed
        decision = self._select_beside(avoid | self._refusing)
        if isinstance(decision, Placement):
            return decision
        if not self._refusing or not self._may_be_refused:
            return decision
        fleet = self._context.selector.fleet
        readers = fleet.prefill_engines(self._job.service)
        return self._select_beside(avoid | (self._refusing & readers))

    def _select_beside(self, avoid: frozenset[str]) -> PlacementDecision:
        selector = self._context.selector
        if self._service.engine is None:
            return selector.select_target(self._job, avoid)
        return selector.select_engines(
            self._job,
            self._service.engine,
            avoid,
            self._send_limit.may_prefill(),
        )

    def _make_attempt(
        self, placement: Placement, now: float
    ) -> Attempt | Refused:
        selector = self._context.selector
        target = selector.target(placement.generator)
        if target is None:
            return Refused('target gone', self._settings.retry_after_s)
        if self._crash_check.trial is not None:
            # A trial must not cost a second target.
            placement = dataclasses.replace(placement, reader=None)
        reader = None
        if placement.reader is not None:
            reader = selector.target(placement.reader)
        return Attempt(reader, target, placement, now)

    def _refuse(
        self, reason: str, avoid: set[str], free_in_s: float = 0
    ) -> Refused:
        """Refuse the request.

        Other hosts may reach what this one does not, or have shares of the
        limits of targets.
        """
        hosts: frozenset[str] = frozenset()
        if not self._send_limit.has_unreached:
            hosts = self._context.selector.permit_holders(
                self._job.service, self._version.excluded() | avoid
            )
        return Refused(
            reason,
            max(free_in_s, self._settings.retry_after_s),
            elsewhere=self._send_limit.has_unreached or bool(hosts),
            hosts=hosts,
        )
