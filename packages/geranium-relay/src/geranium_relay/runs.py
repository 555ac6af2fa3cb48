"""Runs one admitted request to its outcome."""

import dataclasses
from http import HTTPStatus

from geranium_policy.health import ResponseTimeout, Unreachable

from .attempts import Attempt, Patience, patience_with
from .call_errors import (
    AnswerLostError,
    NotRunError,
    NotSentError,
    RelayError,
    TargetSilentError,
)
from .catalogue import RouteKind, Service
from .load_tracker import Dispatch
from .messages import CacheHandle, Job, ResponseHead, TargetCall
from .outcomes import CutOff, Failed, Outcome, Refused, TimedOut
from .passing import Passing
from .ports import ResponseSink, TargetResponse
from .prompt_reading import PromptReading
from .run_context import RunContext
from .run_notes import RunNotes
from .run_settings import RunSettings
from .send_limit import SendLimit
from .sending import open_answer
from .suspicion import suspect
from .target_selector import NoEngine, Placement, TooBusy


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
        sink: ResponseSink,
        context: RunContext,
        settings: RunSettings,
    ) -> None:
        self._job = job
        self._service = service
        self._context = context
        self._settings = settings
        self._reading = PromptReading(context, settings)
        self._passing = Passing(
            sink,
            resumable=job.route.resumable,
            resume_after=job.arrival.resume_after,
        )
        self._notes = RunNotes(job, context)
        self._avoid: set[str] = set()
        self._limit = SendLimit(
            job.service,
            context.retries,
            settings,
            context.clock,
        )
        self._runs = 0
        self._failure: tuple[ResponseHead, bytes] | None = None

    async def serve(self) -> Outcome:
        """Try targets until there is an outcome."""
        while True:
            found = self._find()
            if isinstance(found, Refused):
                return await self._give_up(found)
            outcome = await self._try(found)
            if outcome is not None:
                return outcome

    def late_outcome(self) -> Outcome:
        """Return the outcome at the deadline."""
        if self._passing.started:
            return CutOff('deadline')
        if self._runs:
            return TimedOut()
        return Refused('deadline', self._settings.retry_after_s)

    def _find(self) -> Attempt | Refused:
        """Return the next attempt, or why there is none."""
        now = self._context.clock()
        if self._job.deadline - now < self._settings.reserve_s:
            return Refused('no time left', self._settings.retry_after_s)
        decision = self._decide()
        match decision:
            case Placement():
                return self._attempt(decision, now)
            case TooBusy(free_in_s=free_in_s):
                self._notes.record_busy(self._avoid, free_in_s)
                wait_s = max(free_in_s, self._settings.retry_after_s)
                return Refused('engines busy', wait_s)
            case NoEngine():
                return Refused('no target', self._settings.retry_after_s)

    def _decide(self) -> Placement | TooBusy | NoEngine:
        selector = self._context.selector
        avoid = frozenset(self._avoid)
        if self._service.engine is None:
            return selector.place_call(self._job, avoid)
        return selector.place_prompt(self._job, self._service.engine, avoid)

    def _attempt(self, placement: Placement, now: float) -> Attempt | Refused:
        selector = self._context.selector
        target = selector.target(placement.generator)
        if target is None:
            return Refused('target gone', self._settings.retry_after_s)
        reader = None
        if placement.reader is not None:
            reader = selector.target(placement.reader)
        return Attempt(reader, target, placement, now)

    async def _give_up(self, refusal: Refused) -> Outcome:
        """Return the outcome if there is no further attempt."""
        if self._passing.started:
            return CutOff(refusal.reason)
        if self._failure is not None:
            head, body = self._failure
            return await self._passing.pass_whole(head, body)
        if self._runs:
            return Failed(refusal.reason)
        return refusal

    async def _try(self, attempt: Attempt) -> Outcome | None:
        """Make one attempt; ``None`` means that another may follow."""
        if not self._limit.take():
            refusal = Refused('no repeat left', self._settings.retry_after_s)
            return await self._give_up(refusal)
        self._notes.record_dispatch(attempt, self._limit.sends)
        try:
            return await self._send(attempt)
        except RelayError as error:
            return await self._after(attempt, error)

    def _may_repeat(self) -> bool:
        """Say whether the request may run once more after this run."""
        route = self._job.route
        return route.repeatable and self._runs < route.max_attempts

    async def _send(self, attempt: Attempt) -> Outcome | None:
        kept = await self._reading.read(self._job, attempt)
        if not self._context.selector.takes_requests(attempt.target):
            attempt = await self._move(attempt, kept)
        dispatch = Dispatch(
            attempt.target.key,
            self._job.rank,
            0 if kept else attempt.placement.fresh_tokens,
            self._context.clock(),
            attempt.placement.first_s,
        )
        number = self._context.loads.open(dispatch)
        try:
            return await self._call(attempt, kept, dispatch)
        finally:
            self._context.loads.close(number)

    async def _move(
        self,
        attempt: Attempt,
        kept: CacheHandle | None,
    ) -> Attempt:
        """Replace a target that began to leave while the prompt was read.

        Raises:
            NotSentError: If there is no other.
        """
        found = None
        if self._service.engine is not None:
            found = self._context.selector.place_read_prompt(
                self._job,
                self._service.engine,
                frozenset(self._avoid | {attempt.target.key}),
            )
        if found is None:
            if kept is not None:
                await self._context.targets.drop_prompt(kept)
            raise NotSentError('the target is leaving')
        return dataclasses.replace(attempt, target=found)

    async def _call(
        self,
        attempt: Attempt,
        kept: CacheHandle | None,
        dispatch: Dispatch,
    ) -> Outcome | None:
        call = TargetCall(
            self._job,
            attempt.target,
            self._job.deadline,
            kept,
            self._passing.resume_after,
        )
        self._runs += 1
        patience = patience_with(
            self._job.route,
            attempt,
            self._settings,
            may_repeat=self._may_repeat(),
        )
        try:
            answer = await open_answer(self._context, call, patience)
        except (NotSentError, NotRunError):
            self._runs -= 1
            raise
        try:
            return await self._pass_on(answer, attempt, dispatch, patience)
        finally:
            answer.close()

    async def _pass_on(
        self,
        answer: TargetResponse,
        attempt: Attempt,
        dispatch: Dispatch,
        patience: Patience,
    ) -> Outcome | None:
        head = answer.head
        if head.succeeded and not head.signed:
            raise AnswerLostError('success without signature')
        self._notes.count()
        if self._job.route.kind is RouteKind.STREAM and head.succeeded:
            return await self._passing.pass_stream(
                answer,
                patience,
                lambda: self._notes.record_begun(attempt, dispatch),
            )
        body = b''.join([chunk async for chunk in answer.chunks()])
        self._notes.record_begun(attempt, dispatch)
        if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self._failure = head, body
            if self._may_repeat():
                self._avoid.add(attempt.target.key)
                return None
        return await self._passing.pass_whole(head, body)

    async def _after(
        self,
        attempt: Attempt,
        error: RelayError,
    ) -> Outcome | None:
        """Learn from a failed attempt; return the outcome if it is the last.

        ``None`` means that the request may be sent again.
        """
        target = attempt.target
        self._avoid.add(target.key)
        self._notes.record_failure(
            attempt,
            error,
            started=self._passing.started,
        )
        match error:
            case NotRunError():
                return None
            case NotSentError():
                if attempt.reader is None:
                    self._limit.take_back()
                self._context.selector.observe(target, Unreachable())
                return None
            case TargetSilentError():
                self._context.selector.observe(target, ResponseTimeout())
            case _:
                self._context.selector.observe(target, Unreachable())
        if isinstance(error, AnswerLostError) and error.broken:
            await suspect(self._context, self._job, target)
        return self._after_run(str(error))

    def _after_run(self, reason: str) -> Outcome | None:
        self._passing.forget_partial_event()
        if self._service.engine is None:
            self._notes.count()
        if self._may_repeat() and self._passing.knows_position():
            return None
        if self._passing.started:
            return CutOff(reason)
        return Failed(reason)
