"""Prefills prompts on separate engines."""

import asyncio

from geranium_policy.health import ResponseTimeout, Unreachable
from geranium_policy.retry_share import RetryKind

from .attempts import Attempt
from .call_errors import (
    AnswerLostError,
    NotRunError,
    NotSentError,
    RelayError,
    TargetSilentError,
)
from .crash_suspicion import suspect_request
from .load_tracker import Dispatch
from .messages import CacheHandle, Job, TargetCall
from .prefill_permits import PrefillPermits
from .request_recorder import record_repeat, withdraw_prompt
from .run_context import RunContext
from .run_settings import RunSettings
from .targets import Target


class PrefillRunner:
    """Prefills the prompts of jobs separately from generation."""

    def __init__(
        self,
        context: RunContext,
        settings: RunSettings,
        permits: PrefillPermits,
    ) -> None:
        self._context = context
        self._settings = settings
        self._permits = permits

    async def read(self, job: Job, attempt: Attempt) -> CacheHandle | None:
        """Prefill the prompt on the attempt's reader.

        Returns ``None`` if the generating engine has to prefill it, because
        there is no reader or the reader failed. A failure is logged.
        """
        reader = attempt.reader
        if reader is None:
            return None
        dispatch = Dispatch(
            reader.key,
            job.rank,
            attempt.placement.fresh_tokens,
            self._context.clock(),
            attempt.placement.first_s,
            ahead_tokens=attempt.placement.queued_tokens,
        )
        self._permits.record_call()
        try:
            with self._context.loads.counted(dispatch):
                kept = await self._prefill(job, reader, dispatch.expected_s)
        except (RelayError, TimeoutError) as error:
            self._record_failure(job, reader, error)
            if isinstance(error, (NotSentError, NotRunError)):
                withdraw_prompt(job, self._context, reader.key)
            if isinstance(error, (TimeoutError, TargetSilentError)):
                self._context.selector.observe_latency(reader, dispatch)
            if isinstance(error, AnswerLostError) and error.broken:
                await suspect_request(self._context, job, reader)
            return None
        self._context.selector.observe_latency(reader, dispatch)
        self._context.selector.refusals.record_accepted(reader.key)
        if not self._permits.record_accepted():
            record_repeat(job, self._context, RetryKind.PREFILL, taken=True)
        return kept

    async def _prefill(
        self,
        job: Job,
        reader: Target,
        expected_s: float,
    ) -> CacheHandle:
        limit_s = self._settings.stream_silence_s
        limit_s += expected_s * self._settings.prefill_timeout_factor
        async with asyncio.timeout(limit_s):
            return await self._context.targets.read_prompt(
                TargetCall(job, reader, job.deadline),
            )

    def _record_failure(
        self,
        job: Job,
        reader: Target,
        error: Exception,
    ) -> None:
        self._context.log.record(
            'prompt_not_read',
            request=job.arrival.identity,
            reader=reader.key,
            error=repr(error),
        )
        if isinstance(error, NotSentError):
            self._permits.refund()
        else:
            record_repeat(job, self._context, RetryKind.PREFILL, taken=True)
        if not isinstance(error, NotRunError):
            self._context.reach.suspect(reader.service)
        match error:
            case NotRunError():
                self._context.selector.refusals.record_refused(
                    reader.key, self._context.clock()
                )
            case TimeoutError() | TargetSilentError():
                self._context.selector.observe(reader, ResponseTimeout())
            case _:
                self._context.selector.observe(reader, Unreachable())
