"""Admits requests and runs each to exactly one outcome."""

import asyncio
import dataclasses
import random
from http import HTTPStatus

from .admission import JobAdmission, Rejection
from .catalogue_view import CatalogueView
from .messages import IncomingRequest, Job
from .outcomes import (
    Delivered,
    Failed,
    MalformedSize,
    Outcome,
    OverQuota,
    Refused,
    TimedOut,
)
from .peer_forwarding import ForwardedRequest
from .ports import ResponseSink
from .run_context import RunContext
from .run_settings import RunSettings
from .runs import Run
from .stop_check import STOPPING


@dataclasses.dataclass(frozen=True, slots=True)
class RelaySettings:
    """How requests are admitted and run.

    Args:
        run: Limits of one request.
        unready_retry_s: Retry delay for callers of a host without a fresh
            catalogue. Another host may have one already.
    """

    run: RunSettings
    unready_retry_s: float = 0.5


class Relay:
    """Admits incoming requests as jobs and runs them."""

    def __init__(
        self,
        settings: RelaySettings,
        view: CatalogueView,
        context: RunContext,
        source: random.Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._context = context
        self._admission = JobAdmission(view, source, settings.unready_retry_s)

    async def serve(
        self,
        host: str,
        key: str | None,
        arrival: IncomingRequest,
        sink: ResponseSink,
    ) -> Outcome:
        """Run a request to its outcome.

        Args:
            host: The requested host name, without a port.
            key: The caller's key, if it sent one.
            arrival: The request.
            sink: Receives the response of the target, if there is one.
        """
        admitted = self._admission.admit(host, key, arrival)
        match admitted:
            case Job():
                return await self._run_by_quota(admitted, sink)
            case _:
                self._record_rejection(arrival.identity, admitted)
                return admitted

    def refuse_unread(
        self,
        identity: str,
        reason: str = STOPPING,
        retry_after_s: float | None = None,
    ) -> Refused:
        """Return the outcome of a request whose body the host can't await.

        Args:
            identity: Of the request.
            reason: Why; by default, the host ends before the rest of the body
                has arrived.
            retry_after_s: Delay for the caller, if it is not that of a
                stopping host.
        """
        if retry_after_s is None:
            retry_after_s = self._settings.run.stopping_retry_s
        refusal = Refused(reason, retry_after_s)
        self._record_rejection(identity, refusal)
        return refusal

    async def serve_forwarded(
        self, request: ForwardedRequest, sink: ResponseSink
    ) -> Outcome:
        """Run a request that another host passed on to its outcome.

        It is admitted by what this host knows, and not passed on again.
        """
        admitted = self._admission.admit(
            request.host, request.key, request.arrival, request
        )
        match admitted:
            case Job():
                return await self._run_to_end(admitted, sink, request)
            case _:
                return admitted

    async def _run_by_quota(self, job: Job, sink: ResponseSink) -> Outcome:
        """Run a job within the quota of its team.

        The tokens of a request that has not run go back to the quota.
        """
        quotas = self._context.quotas
        if quotas is None:
            return await self._run_to_end(job, sink)
        if job.arrival.malformed_size and _counts_tokens(job):
            return self._end_unsent(job, MalformedSize())
        grant = await quotas.take(job)
        if isinstance(grant, OverQuota):
            return self._end_unsent(job, grant)
        outcome = await self._run_to_end(job, sink)
        if isinstance(outcome, Refused):
            quotas.give_back(grant)
        return outcome

    def _end_unsent(self, job: Job, outcome: Outcome) -> Outcome:
        self._record_end(job, type(outcome).__name__, _detail(outcome))
        return outcome

    async def _run_to_end(
        self,
        job: Job,
        sink: ResponseSink,
        forwarded: ForwardedRequest | None = None,
    ) -> Outcome:
        try:
            with self._context.shutdown.running(job):
                outcome = await self._run(job, sink, forwarded)
        except asyncio.CancelledError:
            self._record_end(job, 'CallerLeft', None)
            raise
        if _shows_duration(outcome):
            self._context.shutdown.observe(job)
        if isinstance(outcome, Refused):
            self._context.telemetry.record_refusal(outcome.reason)
        self._record_end(job, type(outcome).__name__, _detail(outcome))
        return outcome

    def _record_rejection(self, identity: str, outcome: Rejection) -> None:
        self._context.telemetry.record_end(type(outcome).__name__, 'none', 0)
        if isinstance(outcome, Refused):
            self._context.telemetry.record_refusal(outcome.reason)
        self._context.log.record(
            'rejected',
            request=identity,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, 'reason', None),
            catalogue=self._version(),
            catalogue_age_s=round(self._view.age_s(), 3),
        )

    def _version(self) -> int | None:
        catalogue = self._view.catalogue
        return None if catalogue is None else catalogue.version

    async def _run(
        self, job: Job, sink: ResponseSink, forwarded: ForwardedRequest | None
    ) -> Outcome:
        catalogue = self._view.catalogue
        if catalogue is None or job.service not in catalogue.services_by_name:
            return Refused('no such service', self._settings.unready_retry_s)
        service = catalogue.services_by_name[job.service]
        run = Run(
            job, service, sink, self._context, self._settings.run, forwarded
        )
        left_s = job.deadline - self._context.clock()
        limit_s = left_s + self._settings.run.deadline_margin_s
        try:
            async with self._context.shutdown.limit(limit_s):
                return await run.serve()
        except TimeoutError:
            if self._context.shutdown.has_ended:
                return run.outcome_at_end(STOPPING, Failed(STOPPING))
            return run.outcome_at_end('deadline', TimedOut())

    def _record_end(self, job: Job, outcome: str, detail: object) -> None:
        now = self._context.clock()
        self._context.telemetry.record_end(
            outcome,
            job.service,
            now - job.arrival.arrived_at,
        )
        self._context.log.record(
            'ended',
            request=job.arrival.identity,
            route=job.route.name,
            service=job.service,
            team=job.team.name if job.team else None,
            outcome=outcome,
            detail=detail,
            catalogue=self._version(),
            catalogue_age_s=round(self._view.age_s(), 3),
            took_s=round(now - job.arrival.arrived_at, 4),
            left_s=round(job.deadline - now, 3),
        )


def _shows_duration(outcome: Outcome) -> bool:
    """Return whether a request has taken as long as its like may take."""
    match outcome:
        case Delivered(status=status):
            return status < HTTPStatus.BAD_REQUEST
        case TimedOut():
            return True
        case _:
            return False


def _counts_tokens(job: Job) -> bool:
    """Return whether the quota of a job's team is in tokens."""
    quota = None if job.team is None else job.team.quota
    return quota is not None and quota.in_tokens


def _detail(outcome: Outcome) -> object:
    match outcome:
        case Refused(reason=reason, retry_after_s=retry_after_s):
            return [reason, round(retry_after_s, 3)]
        case OverQuota(retry_after_s=retry_after_s):
            return round(retry_after_s, 3)
        case _:
            status = getattr(outcome, 'status', None)
            return status or getattr(outcome, 'reason', None)


__all__ = [
    'Relay',
    'RelaySettings',
    'RunSettings',
]
