"""Runs calls on application targets, non-idempotent ones at most once."""

import asyncio
from typing import TypeAlias

from geranium_coordination import Clock
from geranium_model import Outcome
from geranium_policy import RetryAt, RetryPolicy
from geranium_policy.attempts import AttemptFailure

from ..process import TargetError, TargetRefusedError
from ..state import RequestRecord, TargetEntry
from .attempts import AttemptRecorder, Attempts
from .selection import TargetSelector
from .targets import ApplicationCall, ApplicationResponse, TargetClient

ApplicationResult: TypeAlias = ApplicationResponse | Outcome


class ApplicationRunner:
    """Runs calls, each to a target's response or a final outcome."""

    def __init__(
        self,
        selector: TargetSelector,
        client: TargetClient,
        retries: RetryPolicy,
        recorder: AttemptRecorder,
        clock: Clock,
    ) -> None:
        self._selector = selector
        self._client = client
        self._retries = retries
        self._recorder = recorder
        self._clock = clock

    async def run(
        self,
        call: ApplicationCall,
        record: RequestRecord,
    ) -> ApplicationResult:
        """Run a call, with retries until its deadline."""
        attempts = Attempts(record, call.incoming.deadline)
        try:
            async with asyncio.timeout_at(call.incoming.deadline):
                return await self._attempt_all(call, attempts)
        except TimeoutError:
            return attempts.final_outcome('Deadline passed')

    async def _attempt_all(
        self,
        call: ApplicationCall,
        attempts: Attempts,
    ) -> ApplicationResult:
        while True:
            entry = self._selector.select_target(
                call.service,
                attempts.excluded,
            )
            if entry is None:
                return attempts.final_outcome('No target available')
            result = await self._attempt(call, attempts, entry)
            if isinstance(result, ApplicationResponse):
                return result
            retry = self._retries.decide(
                attempts.failed(result, idempotent=call.is_repeatable),
                self._clock.now(),
            )
            if not isinstance(retry, RetryAt):
                return attempts.final_outcome('No target answered')
            await self._clock.sleep_until(retry.instant)

    async def _attempt(
        self,
        call: ApplicationCall,
        attempts: Attempts,
        entry: TargetEntry,
    ) -> ApplicationResponse | AttemptFailure:
        attempts.record.record_attempt(entry.name)
        was_sent_before = attempts.was_sent
        attempts.was_sent = True
        entry.running += 1
        try:
            response = await self._client.call(entry.target, call)
        except TargetError as error:
            if isinstance(error, TargetRefusedError):
                attempts.was_sent = was_sent_before
            return self._recorder.record_failure(attempts, entry, error)
        finally:
            entry.running -= 1
        self._recorder.record_success(entry)
        return response
