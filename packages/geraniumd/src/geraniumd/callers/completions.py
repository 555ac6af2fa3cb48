"""Runs completions on engines with retries and resumed streams."""

import asyncio
import dataclasses
from collections.abc import Callable
from http import HTTPStatus

from geranium_coordination import Clock
from geranium_model import (
    Completed,
    Engine,
    NotRun,
    Outcome,
    OutcomeUnknown,
    RanAndFailed,
    Usage,
)
from geranium_policy import (
    Refused,
    RequestProfile,
    RetryAt,
    RetryPolicy,
    ServerError,
    Verdict,
)
from geranium_policy.attempts import AttemptFailure

from ..process import (
    CallerGoneError,
    TargetError,
    TargetLostError,
    TargetRefusedError,
    TargetSilentError,
)
from ..state import RequestRecord
from .access import AccessDecision
from .admission import CompletionAdmission
from .attempts import AttemptRecorder, Attempts
from .calls import CompletionCall
from .events import EventBuffer
from .handoff import KvHandoff
from .selection import Selection, TargetSelector
from .sinks import Sink
from .streams import StreamClient, final_usage
from .suspects import CRASHES_ENGINES, NO_ISOLATED_ENGINE, SuspectGuard

_CALLER_GONE_STATUS = 499


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionJob:
    """A call to run, the sink for its events and its access check.

    ``check_access`` repeats the access check right before dispatch.
    """

    call: CompletionCall
    sink: Sink
    record: RequestRecord
    check_access: Callable[[], AccessDecision]


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionResult:
    """The outcome and the usage of a completion."""

    outcome: Outcome
    usage: Usage


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """The state of a running completion across its attempts."""

    job: CompletionJob
    profile: RequestProfile
    buffer: EventBuffer
    attempts: Attempts


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionDependencies:
    """The collaborators of a ``CompletionRunner``."""

    admission: CompletionAdmission
    selector: TargetSelector
    guard: SuspectGuard
    handoff: KvHandoff
    streams: StreamClient
    retries: RetryPolicy
    recorder: AttemptRecorder


class CompletionRunner:
    """Runs completions, each to exactly one outcome."""

    def __init__(
        self, dependencies: CompletionDependencies, clock: Clock
    ) -> None:
        self._admission = dependencies.admission
        self._selector = dependencies.selector
        self._guard = dependencies.guard
        self._handoff = dependencies.handoff
        self._streams = dependencies.streams
        self._retries = dependencies.retries
        self._recorder = dependencies.recorder
        self._clock = clock
        self._cancellations: set[asyncio.Task[None]] = set()

    async def run(self, job: CompletionJob) -> CompletionResult:
        """Run a call until its deadline and return its outcome and usage."""
        call = job.call
        profile = call.profile()
        admission = await self._admission.admit(
            profile,
            call.service,
            call.key_id,
        )
        if isinstance(admission, NotRun):
            return CompletionResult(admission, Usage())
        run = _Run(
            job,
            profile,
            EventBuffer(profile.request_id),
            Attempts(job.record, profile.deadline),
        )
        usage = Usage()
        try:
            outcome = await self._run_admitted(run)
            usage = _usage(run, outcome)
        finally:
            self._recorder.record_dropped_events(run.buffer.dropped_count)
            self._admission.complete(profile, call.service, usage)
        return CompletionResult(outcome, usage)

    async def _run_admitted(self, run: _Run) -> Outcome:
        decision = run.job.check_access()
        if isinstance(decision, NotRun):
            return decision
        try:
            async with asyncio.timeout_at(run.profile.deadline):
                return await self._run_by_verdict(run)
        except TimeoutError:
            return run.attempts.final_outcome('Deadline passed')
        except CallerGoneError as error:
            return _caller_gone(run.attempts, str(error))

    async def _run_by_verdict(self, run: _Run) -> Outcome:
        match self._guard.verdict(run.job.call):
            case Verdict.RUN:
                return await self._attempt_all(run)
            case Verdict.RUN_ISOLATED:
                return await self._attempt_isolated(run)
            case Verdict.REJECT:
                return self._guard.rejection(
                    run.job.call, was_sent=run.attempts.was_sent
                )

    async def _attempt_isolated(self, run: _Run) -> Outcome:
        """Make one attempt on an engine reserved for this call."""
        call = run.job.call
        run.job.record.add_step('a suspect: waits for an engine apart')
        excluded = run.attempts.excluded
        async with self._guard.reserve(call, excluded) as entry:
            selection = entry and self._selector.select_only(run.profile, entry)
            if not selection:
                return NO_ISOLATED_ENGINE
            failure = await self._attempt(run, selection)
        if isinstance(failure, Refused):
            return await self._run_by_verdict(run)
        if failure is None:
            self._guard.clear(call)
            return Completed()
        if self._guard.verdict(call) is Verdict.REJECT:
            return CRASHES_ENGINES
        return run.attempts.final_outcome('No engine answered')

    async def _attempt_all(self, run: _Run) -> Outcome:
        attempts = run.attempts
        while True:
            if self._guard.verdict(run.job.call) is not Verdict.RUN:
                return await self._run_by_verdict(run)
            selection = self._selector.select_engine(
                run.profile,
                attempts.excluded,
                attempts.version,
            )
            if selection is None:
                return attempts.final_outcome('No engine available')
            failure = await self._attempt(run, selection)
            if failure is None:
                self._guard.clear(run.job.call)
                return Completed()
            if isinstance(failure, ServerError):
                return _engine_failure(failure, attempts.detail)
            retry = self._retries.decide(
                attempts.failed(failure, idempotent=True),
                self._clock.now(),
            )
            if not isinstance(retry, RetryAt):
                return attempts.final_outcome('No engine answered')
            await self._clock.sleep_until(retry.instant)

    async def _attempt(
        self,
        run: _Run,
        selection: Selection,
    ) -> AttemptFailure | None:
        """Make one attempt; return its failure, ``None`` on success."""
        entry = selection.entry
        run.job.record.record_choice(selection.choice)
        kv_imported = await self._transfer_kv_cache(run, selection)
        entry.running += 1
        entry.view.record_dispatch(
            run.profile,
            self._clock.now(),
            kv_imported=kv_imported,
        )
        try:
            await self._stream_events(run, selection)
        except TargetError as error:
            if not isinstance(error, TargetRefusedError):
                run.attempts.was_sent = True
            if _is_broken(error):
                await self._guard.record_lost_connection(run.job.call, entry)
            return self._recorder.record_failure(run.attempts, entry, error)
        finally:
            entry.running -= 1
            entry.view.record_end(run.profile.request_id, self._clock.now())
        self._recorder.record_success(entry)
        return None

    async def _transfer_kv_cache(self, run: _Run, selection: Selection) -> bool:
        """Prefill on another engine if routing chose one.

        Returns whether the decode engine imported the KV cache.
        """
        source = selection.choice.prefill_engine
        if source is None or run.buffer.next_offset:
            return False
        if not self._handoff.is_possible(source, selection.entry):
            return False
        run.attempts.was_sent = True
        run.job.record.add_step(f'prompt read by {source.name}')
        return await self._handoff.transfer(
            run.job.call,
            run.profile,
            source,
            selection.entry.target,
        )

    async def _stream_events(self, run: _Run, selection: Selection) -> None:
        engine = selection.entry.target
        sent_at = self._clock.now()
        try:
            async with self._streams.open(
                engine,
                run.job.call,
                run.buffer,
            ) as stream:
                run.attempts.was_sent = True
                async for batch in stream.batches():
                    self._record_first_token(run, selection, sent_at)
                    run.attempts.version = selection.entry.version
                    await run.job.sink.write(batch)
        except TargetRefusedError:
            raise
        except BaseException:
            # Without a reader, the engine would generate to the end.
            self._cancel_soon(engine, run.profile.request_id)
            raise

    def _record_first_token(
        self,
        run: _Run,
        selection: Selection,
        sent_at: float,
    ) -> None:
        record = run.job.record
        if record.first_token_at is not None:
            return
        record.mark_first_token()
        selection.entry.view.record_first_token(run.profile.request_id)
        self._admission.record_first_token_delay(
            run.job.call.service,
            self._clock.now() - sent_at,
        )

    def _cancel_soon(self, engine: Engine, execution_id: str) -> None:
        cancellation = asyncio.create_task(
            self._streams.cancel(engine, execution_id),
        )
        self._cancellations.add(cancellation)
        cancellation.add_done_callback(self._cancellations.discard)


def _usage(run: _Run, outcome: Outcome) -> Usage:
    if isinstance(outcome, Completed):
        return final_usage(run.buffer.last_payload)
    if not run.attempts.was_sent:
        return Usage()
    return Usage(run.profile.prompt_tokens, run.buffer.next_offset, requests=1)


def _is_broken(error: TargetError) -> bool:
    """Return whether the connection broke, which may mean a crash."""
    if isinstance(error, TargetSilentError):
        return False
    return isinstance(error, TargetLostError)


def _engine_failure(failure: ServerError, detail: str) -> Outcome:
    if failure.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return RanAndFailed('Refused by the model', detail, failure.status)
    return RanAndFailed('Failed on the engine', detail)


def _caller_gone(attempts: Attempts, detail: str) -> Outcome:
    if attempts.was_sent:
        return OutcomeUnknown('Caller gone', detail, _CALLER_GONE_STATUS)
    return NotRun(_CALLER_GONE_STATUS, 'Caller gone', detail)
