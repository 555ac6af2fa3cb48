"""Admission control: queues completions and admits them fairly by team."""

import asyncio
import dataclasses
from collections.abc import Collection, Mapping
from functools import partial
from http import HTTPStatus
from typing import TypeAlias

from geranium_model import Configuration, ModelService, NotRun, Usage
from geranium_policy import (
    AdmissionSettings,
    QueueEntry,
    Refusal,
    RequestProfile,
    ServiceQueue,
)
from geranium_policy import Fleet as ServingFleet

from ..hosts import ServiceConsumption
from ..state import Context

_REBALANCE_INTERVAL_S = 0.25
_MS_PER_S = 1000
_RETRY_AFTER_S = 1
_NO_KEY_ID = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is admitted and may be sent to an engine."""


AdmissionResult: TypeAlias = Admitted | NotRun

_DEADLINE_EXCEEDED = NotRun(
    HTTPStatus.SERVICE_UNAVAILABLE,
    'Deadline passed',
    'The request waited for its turn until its deadline.',
    retry_after_s=_RETRY_AFTER_S,
)

_KEY_WITHDRAWN = NotRun(
    HTTPStatus.UNAUTHORIZED,
    'Key not accepted',
    'The key was withdrawn while the request waited.',
)


class CompletionAdmission:
    """Keeps one admission queue per model service on this daemon."""

    def __init__(self, context: Context) -> None:
        self._settings = context.settings
        self._fleet = context.fleet
        self._directory = context.directory
        self._follower = context.follower
        self._gossip = context.gossip
        self._demand = context.demand
        self._clock = context.clock
        self._weights_source = Configuration()
        self._weight_by_team: Mapping[str, float] = {}
        self._results_by_execution: dict[
            str, asyncio.Future[AdmissionResult]
        ] = {}
        self.queues_by_service: dict[str, ServiceQueue] = {}
        context.gossip.subscribe(self._apply_consumption)

    async def admit(
        self,
        profile: RequestProfile,
        service: ModelService,
        key_id: str,
    ) -> AdmissionResult:
        """Wait until the request is admitted or rejected.

        Returns ``Admitted``, or the outcome of a request that was rejected or
        reached its deadline in the queue.
        """
        now = self._clock.now()
        self._demand.record(service, profile)
        queue = self._queue(service)
        entry = QueueEntry(
            profile,
            key_id,
            arrived_at=now,
            first_token_deadline=self._first_token_deadline(service, profile),
        )
        result: asyncio.Future[AdmissionResult] = asyncio.Future()
        self._results_by_execution[profile.request_id] = result
        self._reject(queue.offer(entry, now))
        self._admit_ready(queue)
        try:
            async with asyncio.timeout_at(profile.deadline):
                return await result
        except TimeoutError:
            self._abandon(queue, profile.request_id)
            return _DEADLINE_EXCEEDED
        except asyncio.CancelledError:
            self._abandon(queue, profile.request_id)
            raise
        finally:
            self._results_by_execution.pop(profile.request_id)

    def record_first_token_delay(
        self,
        service: ModelService,
        first_token_s: float,
    ) -> None:
        """Record the time from dispatch to first token, in seconds."""
        self._queue(service).record_first_token(first_token_s)

    def complete(
        self,
        profile: RequestProfile,
        service: ModelService,
        usage: Usage,
    ) -> None:
        """Record that an admitted request ended, and admit others."""
        queue = self._queue(service)
        queue.complete(
            profile.request_id,
            usage.prompt_tokens,
            usage.generated_tokens,
        )
        self._admit_ready(queue)

    def reject_withdrawn_keys(self) -> None:
        """Reject queued requests whose key is no longer in force."""
        configuration = self._follower.configuration
        key_ids = {key.key_id for key in configuration.keys_by_sha256.values()}
        key_ids.add(_NO_KEY_ID)
        for queue in self.queues_by_service.values():
            for entry in queue.withdraw(partial(_lacks_key, key_ids)):
                self._resolve(entry, _KEY_WITHDRAWN)

    async def run(self) -> None:
        """Rebalance the queues with the peers' shares until cancelled."""
        while True:
            for service, queue in self.queues_by_service.items():
                self._rebalance(service, queue)
            await asyncio.sleep(_REBALANCE_INTERVAL_S)

    def _abandon(self, queue: ServiceQueue, execution_id: str) -> None:
        """Remove a request that is not sent, whether queued or admitted."""
        queue.withdraw(partial(_belongs_to, execution_id))
        queue.complete(execution_id, 0, 0)
        self._admit_ready(queue)

    def _rebalance(self, service: str, queue: ServiceQueue) -> None:
        now = self._clock.now()
        serving = ServingFleet(
            engines=len(self._fleet.engines(service)),
            daemons=len(self._directory.routable_hosts('')),
            weight_by_team=self._team_weights(),
        )
        report = queue.rebalance(serving, now)
        self._gossip.publish(ServiceConsumption(service, report))
        self._reject(queue.expire(now))
        self._admit_ready(queue)

    def _team_weights(self) -> Mapping[str, float]:
        """Return the team weights, cached per configuration."""
        configuration = self._follower.configuration
        if configuration is not self._weights_source:
            self._weights_source = configuration
            self._weight_by_team = {
                team.name: team.weight
                for team in configuration.teams_by_name.values()
            }
        return self._weight_by_team

    def _apply_consumption(self, consumption: ServiceConsumption) -> None:
        queue = self.queues_by_service.get(consumption.service)
        if queue is not None:
            queue.apply(consumption.report, self._clock.now())

    def _queue(self, service: ModelService) -> ServiceQueue:
        queue = self.queues_by_service.get(service.name)
        if queue is None:
            settings = AdmissionSettings(self._settings.host)
            queue = ServiceQueue(settings, self._clock.now())
            self.queues_by_service[service.name] = queue
            self._rebalance(service.name, queue)
        return queue

    def _first_token_deadline(
        self,
        service: ModelService,
        profile: RequestProfile,
    ) -> float:
        patience = self._settings.gateway.first_token_patience
        wait_s = patience * service.first_token_ms / _MS_PER_S
        return min(self._clock.now() + wait_s, profile.deadline)

    def _admit_ready(self, queue: ServiceQueue) -> None:
        entry = queue.release(self._clock.now())
        while entry is not None:
            self._resolve(entry, Admitted())
            entry = queue.release(self._clock.now())

    def _reject(self, refusals: tuple[Refusal, ...]) -> None:
        for refusal in refusals:
            self._resolve(refusal.entry, refusal.outcome)

    def _resolve(self, entry: QueueEntry, outcome: AdmissionResult) -> None:
        result = self._results_by_execution.get(entry.profile.request_id)
        if result is not None and not result.done():
            result.set_result(outcome)


def _lacks_key(key_ids: Collection[str], entry: QueueEntry) -> bool:
    return entry.key_id not in key_ids


def _belongs_to(execution_id: str, entry: QueueEntry) -> bool:
    return entry.profile.request_id == execution_id
