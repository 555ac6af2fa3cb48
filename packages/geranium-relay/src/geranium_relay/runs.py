"""Runs one admitted request to its outcome."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator

from geranium_policy.health import Answered, Silent, Unreachable

from .catalogue import RouteKind, Service
from .event_cutter import EventCutter
from .load_book import Dispatch
from .messages import (
    AnswerHead,
    AnswerLostError,
    AnswerSink,
    CacheHandle,
    CutOff,
    Delivered,
    Failed,
    Job,
    NotRunError,
    NotSentError,
    Outcome,
    Refused,
    RelayError,
    TargetAnswer,
    TargetCall,
    TargetSilentError,
    TimedOut,
)
from .placing import NoEngine, Placement, TooBusy
from .run_context import RunContext, RunSettings, fingerprint_of
from .targets import Target


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """Where a request goes next."""

    reader: Target | None
    target: Target
    placement: Placement
    started_at: float


class Run:
    """Sees one request through its attempts.

    Args:
        job: The request.
        service: The service that runs it.
        sink: The caller's side.
        context: The parts of the host.
        settings: Limits.
    """

    def __init__(
        self,
        job: Job,
        service: Service,
        sink: AnswerSink,
        context: RunContext,
        settings: RunSettings,
    ) -> None:
        self._job = job
        self._service = service
        self._sink = sink
        self._context = context
        self._settings = settings
        self._avoid: set[str] = set()
        self._sends = 0
        self._runs = 0
        self._in_doubt = False
        self._started = False
        self._counted = False
        self._cutter = EventCutter()
        self._failure: tuple[AnswerHead, bytes] | None = None

    async def serve(self) -> Outcome:
        """Try targets until there is an outcome."""
        while True:
            found = self._find()
            if not isinstance(found, _Attempt):
                return await self._give_up(found)
            outcome = await self._try(found)
            if outcome is not None:
                return outcome

    def late_outcome(self) -> Outcome:
        """Return the outcome at the deadline."""
        if self._started:
            return CutOff('deadline')
        if self._in_doubt or self._runs:
            return TimedOut()
        return Refused('deadline', self._settings.retry_after_s)

    @property
    def _log_fields(self) -> dict[str, object]:
        return {'request': self._job.arrival.identity, 'send': self._sends}

    def _find(self) -> _Attempt | Refused:
        now = self._context.clock()
        if self._job.deadline - now < self._settings.reserve_s:
            return Refused('no time left', self._settings.retry_after_s)
        decision = self._decide()
        match decision:
            case Placement():
                return self._attempt(decision, now)
            case TooBusy(free_in_s=free_in_s):
                wait_s = max(free_in_s, self._settings.retry_after_s)
                return Refused('engines busy', wait_s)
            case NoEngine():
                return Refused('no target', self._settings.retry_after_s)

    def _decide(self) -> Placement | TooBusy | NoEngine:
        placing = self._context.placing
        avoid = frozenset(self._avoid)
        if self._service.engine is not None:
            return placing.place_prompt(self._job, self._service.engine, avoid)
        target = placing.place_call(self._job, avoid)
        if target is None:
            return NoEngine()
        return Placement(None, target.key, 0, 0, 0)

    def _attempt(self, placement: Placement, now: float) -> _Attempt | Refused:
        placing = self._context.placing
        target = placing.target(placement.generator)
        if target is None:
            return Refused('target gone', self._settings.retry_after_s)
        reader = None
        if placement.reader is not None:
            reader = placing.target(placement.reader)
        return _Attempt(reader, target, placement, now)

    async def _give_up(self, refusal: Refused) -> Outcome:
        if self._started:
            return CutOff(refusal.reason)
        if self._failure is not None:
            head, body = self._failure
            return await self._deliver(head, body)
        if self._in_doubt or self._runs:
            return Failed(refusal.reason)
        return refusal

    async def _try(self, attempt: _Attempt) -> Outcome | None:
        """Make one attempt; ``None`` means that another may follow."""
        if not self._may_send():
            refusal = Refused('no repeat left', self._settings.retry_after_s)
            return await self._give_up(refusal)
        self._note_dispatch(attempt)
        try:
            return await self._send(attempt)
        except RelayError as error:
            return await self._after(attempt, error)

    def _may_send(self) -> bool:
        now = self._context.clock()
        if not self._sends:
            self._context.retries.record_first(self._job.service, now)
            return True
        if self._sends >= self._settings.most_sends:
            return False
        return self._context.retries.take(self._job.service, now)

    def _note_dispatch(self, attempt: _Attempt) -> None:
        self._sends += 1
        placement = attempt.placement
        self._context.placing.note_dispatch(attempt.target)
        self._context.log.note(
            'dispatched',
            **self._log_fields,
            target=attempt.target.key,
            reader=placement.reader,
            fresh_tokens=placement.fresh_tokens,
            wait_s=round(placement.wait_s, 4),
            first_s=round(placement.first_s, 4),
        )
        prompt = self._job.arrival.prompt
        if prompt is None:
            return
        for key in filter(None, (placement.reader, placement.generator)):
            self._context.placing.note_prompt(self._job.service, key, prompt)
            self._context.outbox.note_dispatch(key, prompt.parts)

    async def _send(self, attempt: _Attempt) -> Outcome | None:
        handle = await self._read(attempt)
        dispatch = Dispatch(
            attempt.target.key,
            self._job.priority,
            0 if handle else attempt.placement.fresh_tokens,
            self._context.clock(),
            attempt.placement.first_s,
        )
        number = self._context.loads.open(dispatch)
        try:
            return await self._call(attempt, handle, dispatch)
        finally:
            self._context.loads.close(number)

    async def _read(self, attempt: _Attempt) -> CacheHandle | None:
        """Have the prompt read by the reader, if the placement has one."""
        if attempt.reader is None:
            return None
        placement = attempt.placement
        dispatch = Dispatch(
            attempt.reader.key,
            self._job.priority,
            placement.fresh_tokens,
            self._context.clock(),
            placement.first_s,
        )
        number = self._context.loads.open(dispatch)
        limit_s = self._settings.stream_silence_s
        limit_s += placement.first_s * self._settings.read_patience
        call = TargetCall(self._job, attempt.reader, self._job.deadline)
        try:
            async with asyncio.timeout(limit_s):
                return await self._context.targets.read_prompt(call)
        except (RelayError, TimeoutError) as error:
            self._note_read_failure(attempt.reader, error)
            return None
        finally:
            self._context.loads.close(number)
            self._learn(attempt.reader, dispatch)

    def _note_read_failure(self, reader: Target, error: Exception) -> None:
        self._context.log.note(
            'prompt_not_read',
            **self._log_fields,
            reader=reader.key,
            error=repr(error),
        )
        match error:
            case NotRunError():
                return
            case TimeoutError() | TargetSilentError():
                self._context.placing.observe(reader, Silent())
            case _:
                self._context.placing.observe(reader, Unreachable())

    async def _call(
        self,
        attempt: _Attempt,
        handle: CacheHandle | None,
        dispatch: Dispatch,
    ) -> Outcome | None:
        call = TargetCall(
            self._job,
            attempt.target,
            self._job.deadline,
            handle,
            self._cutter.last_identity or self._job.arrival.resume_after,
        )
        self._in_doubt = True
        try:
            answer = await self._open(call, attempt)
        except (NotSentError, NotRunError):
            self._in_doubt = False
            if handle is not None:
                await self._context.targets.drop_prompt(handle)
            raise
        try:
            return await self._pass_on(answer, attempt, dispatch)
        finally:
            answer.close()

    async def _open(
        self,
        call: TargetCall,
        attempt: _Attempt,
    ) -> TargetAnswer:
        limit_s = self._head_limit_s(attempt)
        if limit_s is None:
            return await self._context.targets.send(call)
        try:
            async with asyncio.timeout(limit_s):
                return await self._context.targets.send(call)
        except TimeoutError:
            raise TargetSilentError('no answer') from None

    def _head_limit_s(self, attempt: _Attempt) -> float | None:
        """Return how long to wait for an answer, if it may be had anew."""
        route = self._job.route
        if not route.repeatable or self._runs + 1 >= route.max_attempts:
            return None
        settings = self._settings
        if route.kind is RouteKind.STREAM:
            expected_s = attempt.placement.first_s * settings.first_patience
            return settings.stream_silence_s + expected_s
        return route.target_latency_s * settings.call_patience

    async def _pass_on(
        self,
        answer: TargetAnswer,
        attempt: _Attempt,
        dispatch: Dispatch,
    ) -> Outcome | None:
        head = answer.head
        if head.succeeded and not head.signed:
            raise AnswerLostError('success without signature')
        streams = self._job.route.kind is RouteKind.STREAM
        if streams and head.succeeded:
            return await self._pass_stream(answer, attempt, dispatch)
        body = b''.join([chunk async for chunk in answer.chunks()])
        self._note_begun(attempt, dispatch)
        if head.status >= 500 and self._job.route.repeatable:
            self._runs += 1
            self._avoid.add(attempt.target.key)
            self._failure = head, body
            if self._runs < self._job.route.max_attempts:
                return None
        return await self._deliver(head, body)

    async def _deliver(self, head: AnswerHead, body: bytes) -> Outcome:
        if self._started:
            return CutOff('target failed')
        self._started = True
        await self._sink.start(head, len(body))
        await self._sink.write(body)
        await self._sink.finish()
        return Delivered(head.status)

    async def _pass_stream(
        self,
        answer: TargetAnswer,
        attempt: _Attempt,
        dispatch: Dispatch,
    ) -> Outcome:
        async for chunk in self._watched(answer, attempt):
            if not dispatch.started:
                self._note_begun(attempt, dispatch)
            data = chunk
            if self._job.route.resumable:
                data = self._cutter.feed(chunk)
            await self._write(answer.head, data)
        await self._write(answer.head, self._cutter.take_rest(), last=True)
        await self._sink.finish()
        return Delivered(answer.head.status)

    async def _write(
        self,
        head: AnswerHead,
        data: bytes,
        *,
        last: bool = False,
    ) -> None:
        if not self._started and (data or last):
            self._started = True
            await self._sink.start(head, None)
        if data:
            await self._sink.write(data)

    async def _watched(
        self,
        answer: TargetAnswer,
        attempt: _Attempt,
    ) -> AsyncIterator[bytes]:
        """Give the chunks; a silent stream that may move on is given up."""
        chunks = answer.chunks().__aiter__()
        limit_s = self._head_limit_s(attempt)
        pause_s = None
        if limit_s is not None:
            pause_s = max(
                self._settings.stream_silence_s,
                self._job.route.target_gap_s * self._settings.silence_gaps,
            )
        while True:
            try:
                async with asyncio.timeout(limit_s):
                    chunk = await anext(chunks)
            except StopAsyncIteration:
                return
            except TimeoutError:
                raise TargetSilentError('stream is silent') from None
            limit_s = pause_s
            yield chunk

    def _note_begun(self, attempt: _Attempt, dispatch: Dispatch) -> None:
        """Note a first token or an answer: the target runs the request."""
        dispatch.started = True
        now = self._context.clock()
        taken_s = now - dispatch.sent_at
        expected_s = attempt.placement.first_s
        if attempt.reader is None:
            self._learn(attempt.target, dispatch)
        if not expected_s:
            expected_s = self._job.route.target_latency_s
        self._context.placing.observe(
            attempt.target,
            Answered(taken_s, expected_s),
        )
        self._context.log.note(
            'begun',
            **self._log_fields,
            target=attempt.target.key,
            expected_s=round(expected_s, 4),
            taken_s=round(now - attempt.started_at, 4),
        )
        self._count()

    def _learn(self, target: Target, dispatch: Dispatch) -> None:
        now = self._context.clock()
        self._context.placing.corrections.observe(
            target.key,
            dispatch.expected_s,
            now - dispatch.sent_at,
            now,
        )

    def _count(self) -> None:
        if self._counted or self._job.team is None:
            return
        self._counted = True
        self._context.usage.count(self._job.team.name)

    async def _after(
        self,
        attempt: _Attempt,
        error: RelayError,
    ) -> Outcome | None:
        """Learn from a failed attempt; return the outcome if it is the last.

        ``None`` means that the request may be sent again.
        """
        target = attempt.target
        self._avoid.add(target.key)
        self._context.log.note(
            'attempt_failed',
            **self._log_fields,
            target=target.key,
            error=repr(error),
            started=self._started,
        )
        match error:
            case NotRunError():
                return None
            case NotSentError():
                self._context.placing.observe(target, Unreachable())
                return None
            case TargetSilentError():
                self._context.placing.observe(target, Silent())
            case AnswerLostError(broken=True):
                await self._suspect(target)
            case _:
                self._context.placing.observe(target, Unreachable())
        return self._after_run(error)

    def _after_run(self, error: RelayError) -> Outcome | None:
        self._runs += 1
        self._cutter.drop_rest()
        route = self._job.route
        if self._service.engine is None:
            self._count()
        may_repeat = route.repeatable and self._runs < route.max_attempts
        if may_repeat and self._knows_position():
            return None
        if self._started:
            return CutOff(str(error))
        return Failed(str(error))

    def _knows_position(self) -> bool:
        """Say whether a stream that has begun can be gone on with."""
        return not self._started or self._cutter.last_identity is not None

    async def _suspect(self, target: Target) -> None:
        """Suspect the request if the target has gone with it."""
        self._context.placing.observe(target, Unreachable())
        if await self._context.targets.is_reachable(target):
            return
        now = self._context.clock()
        fingerprint = fingerprint_of(self._job.arrival, self._job.team)
        notices = self._context.suspects.record_crash(
            (fingerprint,),
            target.key,
            now,
        )
        self._context.outbox.note_crashes(notices, now)
        self._context.log.note(
            'request_suspected',
            **self._log_fields,
            target=target.key,
            fingerprint=f'{fingerprint:016x}',
        )
