"""Admits requests and runs each to exactly one outcome."""

import asyncio
import dataclasses
import math
import random

from geranium_policy.caller_waits import CallerWaitEstimator, CallerWaitSettings

from .catalogue import Route, Team
from .catalogue_view import CatalogueView
from .messages import IncomingRequest, Job
from .outcomes import Outcome, Refused, UnknownKey, UnknownRoute
from .peer_forwarding import ForwardedRequest
from .ports import ResponseSink
from .run_context import RunContext, fingerprints_of
from .run_settings import RunSettings
from .runs import Run


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
        self._source = source
        self._caller_waits = CallerWaitEstimator(CallerWaitSettings())

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
        admitted = self._admit(host, key, arrival)
        match admitted:
            case Job():
                return await self._run_to_end(admitted, sink)
            case _:
                self._context.telemetry.record_end(
                    type(admitted).__name__,
                    'none',
                    0,
                )
                if isinstance(admitted, Refused):
                    self._context.telemetry.record_refusal(admitted.reason)
                self._context.log.record(
                    'rejected',
                    request=arrival.identity,
                    outcome=type(admitted).__name__,
                    reason=getattr(admitted, 'reason', None),
                    catalogue=self._version(),
                    catalogue_age_s=round(self._view.age_s(), 3),
                )
                return admitted

    async def serve_forwarded(
        self, request: ForwardedRequest, sink: ResponseSink
    ) -> Outcome:
        """Run a request that another host passed on to its outcome.

        It is admitted by what this host knows, and not passed on again.
        """
        admitted = self._admit(
            request.host, request.key, request.arrival, request
        )
        match admitted:
            case Job():
                return await self._run_to_end(admitted, sink, request)
            case _:
                return admitted

    async def _run_to_end(
        self,
        job: Job,
        sink: ResponseSink,
        forwarded: ForwardedRequest | None = None,
    ) -> Outcome:
        try:
            outcome = await self._run(job, sink, forwarded)
        except asyncio.CancelledError:
            self._record_end(job, 'CallerLeft', None)
            raise
        if isinstance(outcome, Refused):
            self._context.telemetry.record_refusal(outcome.reason)
        self._record_end(job, type(outcome).__name__, _detail(outcome))
        return outcome

    def _version(self) -> int | None:
        catalogue = self._view.catalogue
        return None if catalogue is None else catalogue.version

    def _admit(
        self,
        host: str,
        key: str | None,
        arrival: IncomingRequest,
        forwarded: ForwardedRequest | None = None,
    ) -> Job | Refused | UnknownRoute | UnknownKey:
        path = arrival.path.partition('?')[0]
        route = self._view.table.find(host, path)
        if route is None:
            return self._reject_if_fresh(UnknownRoute())
        team = self._team(key)
        if self._needs_key(route):
            if not self._view.is_fresh():
                return self._not_ready()
            if team is None:
                return UnknownKey()
        job = self._job(arrival, route, team, forwarded)
        if isinstance(job, Job):
            return dataclasses.replace(job, key=key)
        return job

    def _team(self, key: str | None) -> Team | None:
        catalogue = self._view.catalogue
        if key is None or catalogue is None:
            return None
        return catalogue.teams_by_key.get(key)

    def _needs_key(self, route: Route) -> bool:
        catalogue = self._view.catalogue
        if catalogue is None or route.public:
            return False
        return catalogue.has_teams

    def _reject_if_fresh(
        self, rejection: UnknownRoute
    ) -> UnknownRoute | Refused:
        return rejection if self._view.is_fresh() else self._not_ready()

    def _not_ready(self) -> Refused:
        return Refused(
            'catalogue not fresh',
            self._settings.unready_retry_s,
            elsewhere=True,
        )

    def _job(
        self,
        arrival: IncomingRequest,
        route: Route,
        team: Team | None,
        forwarded: ForwardedRequest | None,
    ) -> Job | Refused:
        service = self._pick_service(route, forwarded)
        if service is None:
            return Refused(
                'no service', self._settings.unready_retry_s, elsewhere=True
            )
        own_deadline = arrival.arrived_at + route.timeout_s
        return Job(
            arrival,
            route,
            service,
            team,
            min(arrival.caller_deadline, own_deadline),
            fingerprints_of(arrival, team, service),
            self._due_at(arrival, route, forwarded),
        )

    def _due_at(
        self,
        arrival: IncomingRequest,
        route: Route,
        forwarded: ForwardedRequest | None,
    ) -> float:
        """Return the time by which the first token of a prompt is due."""
        if forwarded is not None:
            return forwarded.due_at
        if arrival.prompt is None:
            return math.inf
        left_s = arrival.caller_deadline - arrival.arrived_at
        waited_s = self._caller_waits.observe(
            route.name, left_s, route.timeout_s
        )
        return arrival.arrived_at - waited_s + route.target_latency_s

    def _pick_service(
        self, route: Route, forwarded: ForwardedRequest | None
    ) -> str | None:
        """Pick a service of the route at random by weight, if it has any.

        A request that another host passed on keeps its service.
        """
        shares = [share for share in route.shares if share.weight > 0]
        if not shares:
            return None
        if forwarded is not None:
            known = {share.service for share in route.shares}
            return forwarded.service if forwarded.service in known else None
        weights = [share.weight for share in shares]
        return self._source.choices(shares, weights)[0].service

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
            async with asyncio.timeout(limit_s):
                return await run.serve()
        except TimeoutError:
            return run.deadline_outcome()

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


def _detail(outcome: Outcome) -> object:
    match outcome:
        case Refused(reason=reason, retry_after_s=retry_after_s):
            return [reason, round(retry_after_s, 3)]
        case _:
            status = getattr(outcome, 'status', None)
            return status or getattr(outcome, 'reason', None)


__all__ = [
    'Relay',
    'RelaySettings',
    'RunSettings',
]
