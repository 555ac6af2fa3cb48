"""Admits requests as jobs by the catalogue."""

import dataclasses
import math
import random
from typing import TypeAlias

from geranium_policy.caller_waits import CallerWaitEstimator, CallerWaitSettings

from .catalogue import Route, Team
from .catalogue_view import CatalogueView
from .messages import IncomingRequest, Job
from .outcomes import Refused, UnknownKey, UnknownRoute
from .peer_forwarding import ForwardedRequest
from .run_context import fingerprints_of

Rejection: TypeAlias = Refused | UnknownRoute | UnknownKey


class JobAdmission:
    """Finds the route, team, service and deadline of each request.

    Args:
        view: The catalogue in force.
        source: Random numbers for the choice of a service.
        unready_retry_s: Retry delay for callers of a host without a fresh
            catalogue. Another host may have one already.
    """

    def __init__(
        self,
        view: CatalogueView,
        source: random.Random,
        unready_retry_s: float,
    ) -> None:
        self._view = view
        self._source = source
        self._unready_retry_s = unready_retry_s
        self._caller_waits = CallerWaitEstimator(CallerWaitSettings())

    def admit(
        self,
        host: str,
        key: str | None,
        arrival: IncomingRequest,
        forwarded: ForwardedRequest | None = None,
    ) -> Job | Rejection:
        """Return the job of a request, or why there is none.

        Args:
            host: The requested host name, without a port.
            key: The caller's key, if it sent one.
            arrival: The request.
            forwarded: The request, if another host passed it on.
        """
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
            self._unready_retry_s,
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
            return Refused('no service', self._unready_retry_s, elsewhere=True)
        own_deadline = arrival.arrived_at + route.timeout_s
        return Job(
            arrival,
            route,
            service,
            team,
            min(arrival.caller_deadline, own_deadline),
            fingerprints_of(arrival, team, service),
            self._due_at(arrival, route, forwarded),
            forwarded=forwarded is not None,
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
