"""Holds completions back until it is their team's turn."""

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
class Released:
    """It is the request's turn: it may be sent."""


Turn: TypeAlias = Released | NotRun

_DEADLINE_PASSED = NotRun(
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
    """The queues of all model services on this daemon."""

    def __init__(self, context: Context) -> None:
        self._settings = context.settings
        self._fleet = context.fleet
        self._directory = context.directory
        self._follower = context.follower
        self._gossip = context.gossip
        self._demand = context.demand
        self._clock = context.clock
        self._weighed = Configuration()
        self._weight_by_team: Mapping[str, float] = {}
        self._turns_by_execution: dict[str, asyncio.Future[Turn]] = {}
        self.queues_by_service: dict[str, ServiceQueue] = {}
        context.gossip.subscribe(self._take_consumption)

    async def wait_turn(
        self,
        profile: RequestProfile,
        service: ModelService,
        key_id: str,
    ) -> Turn:
        """Return once the request may be sent, or why it won't be."""
        now = self._clock.now()
        self._demand.record(service, profile)
        queue = self._queue(service)
        entry = QueueEntry(
            profile,
            key_id,
            arrived_at=now,
            first_token_deadline=self._first_token_deadline(service, profile),
        )
        turn: asyncio.Future[Turn] = asyncio.Future()
        self._turns_by_execution[profile.request_id] = turn
        self._refuse(queue.offer(entry, now))
        self._release(queue)
        try:
            async with asyncio.timeout_at(profile.deadline):
                return await turn
        except TimeoutError:
            self._leave(queue, profile.request_id)
            return _DEADLINE_PASSED
        except asyncio.CancelledError:
            self._leave(queue, profile.request_id)
            raise
        finally:
            self._turns_by_execution.pop(profile.request_id)

    def observe_first_token(
        self,
        service: ModelService,
        first_token_s: float,
    ) -> None:
        """Take in how long after its dispatch a first token came."""
        self._queue(service).record_first_token(first_token_s)

    def settle(
        self,
        profile: RequestProfile,
        service: ModelService,
        usage: Usage,
    ) -> None:
        """Count a released request as ended, and release others."""
        queue = self._queue(service)
        queue.complete(
            profile.request_id,
            usage.prompt_tokens,
            usage.generated_tokens,
        )
        self._release(queue)

    def drop_withdrawn(self) -> None:
        """Refuse what waits with a key that is no longer in force."""
        configuration = self._follower.configuration
        key_ids = {key.key_id for key in configuration.keys_by_sha256.values()}
        key_ids.add(_NO_KEY_ID)
        for queue in self.queues_by_service.values():
            for entry in queue.withdraw(partial(_lacks_key, key_ids)):
                self._answer(entry, _KEY_WITHDRAWN)

    async def run(self) -> None:
        """Rebalance with the peers' shares until cancelled."""
        while True:
            for service, queue in self.queues_by_service.items():
                self._rebalance(service, queue)
            await asyncio.sleep(_REBALANCE_INTERVAL_S)

    def _leave(self, queue: ServiceQueue, execution_id: str) -> None:
        """Take a request out that won't be sent, waiting or just released."""
        queue.withdraw(partial(_is_of, execution_id))
        queue.complete(execution_id, 0, 0)
        self._release(queue)

    def _rebalance(self, service: str, queue: ServiceQueue) -> None:
        now = self._clock.now()
        serving = ServingFleet(
            engines=len(self._fleet.engines(service)),
            daemons=len(self._directory.callable_hosts('')),
            weight_by_team=self._weights(),
        )
        report = queue.rebalance(serving, now)
        self._gossip.publish(ServiceConsumption(service, report))
        self._refuse(queue.expire(now))
        self._release(queue)

    def _weights(self) -> Mapping[str, float]:
        """Return the teams' weights, worked out once a configuration."""
        configuration = self._follower.configuration
        if configuration is not self._weighed:
            self._weighed = configuration
            self._weight_by_team = {
                team.name: team.weight
                for team in configuration.teams_by_name.values()
            }
        return self._weight_by_team

    def _take_consumption(self, consumption: ServiceConsumption) -> None:
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

    def _release(self, queue: ServiceQueue) -> None:
        entry = queue.release(self._clock.now())
        while entry is not None:
            self._answer(entry, Released())
            entry = queue.release(self._clock.now())

    def _refuse(self, refusals: tuple[Refusal, ...]) -> None:
        for refusal in refusals:
            self._answer(refusal.entry, refusal.outcome)

    def _answer(self, entry: QueueEntry, answer: Turn) -> None:
        turn = self._turns_by_execution.get(entry.profile.request_id)
        if turn is not None and not turn.done():
            turn.set_result(answer)


def _lacks_key(key_ids: Collection[str], entry: QueueEntry) -> bool:
    return entry.key_id not in key_ids


def _is_of(execution_id: str, entry: QueueEntry) -> bool:
    return entry.profile.request_id == execution_id
