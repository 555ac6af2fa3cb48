"""Runs one admitted request until it has an outcome."""

import dataclasses
from http import HTTPStatus

from geranium_policy.health import Unreachable

from .alternative_attempt import AlternativeAttempt
from .attempt_selection import AttemptSelection
from .attempts import Attempt, response_timeouts
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
from .outcomes import (
    CutOff,
    Failed,
    Outcome,
    Refused,
    with_calls,
)
from .peer_attempts import NotTaken, PeerAttempts
from .peer_forwarding import ForwardedRequest, RunProgress
from .ports import ResponseSink, TargetResponse
from .prefill_runner import PrefillRunner
from .request_recorder import RequestRecorder
from .response_forwarder import ResponseForwarder
from .run_context import RunContext
from .run_settings import RunSettings
from .send_limit import SendLimit
from .sending import open_response
from .silence import SilenceLimit
from .stream_origins import StreamVersion
from .suspicion import clear_request, suspect_request


class Run:
    """Runs the attempts of one request.

    Args:
        job: The request.
        service: The service that runs it.
        sink: Writes the response to the caller.
        context: The components of the host.
        settings: Limits.
        forwarded: The request, if another host passed it on.
    """

    def __init__(
        self,
        job: Job,
        service: Service,
        sink: ResponseSink,
        context: RunContext,
        settings: RunSettings,
        forwarded: ForwardedRequest | None = None,
    ) -> None:
        progress = RunProgress() if forwarded is None else forwarded.progress
        self._job = job
        self._service = service
        self._context = context
        self._settings = settings
        self._forwarder = ResponseForwarder(
            sink,
            resume_after=job.arrival.resume_after,
        )
        self._recorder = RequestRecorder(job, context, counted=progress.counted)
        self._version = StreamVersion(
            job, context.origins, version=progress.version
        )
        self._avoid: set[str] = set()
        self._send_limit = SendLimit(
            job.service,
            context.retries,
            settings,
            context.clock,
            progress,
        )
        self._prefill = PrefillRunner(
            context, settings, self._send_limit.prefill
        )
        self._selection = AttemptSelection(
            job,
            service,
            context,
            settings,
            self._version,
            self._send_limit,
        )
        self._alternative = AlternativeAttempt(
            self._selection, self._send_limit
        )
        self._peers = PeerAttempts(
            self._forwarder,
            self._recorder,
            self._version,
            self._send_limit,
            settings,
            self._selection.stop_check,
        )
        self._failure: tuple[ResponseHead, bytes] | None = None

    async def serve(self) -> Outcome:
        """Try targets until the request has an outcome."""
        if not await self._version.resolve():
            return Refused(
                'stream began at an unknown version',
                self._settings.retry_after_s,
            )
        outcome = None
        try:
            while outcome is None:
                outcome = await self._try_once()
        finally:
            self._send_limit.close()
        calls = self._send_limit.calls_made(counted=self._recorder.counted)
        return with_calls(outcome, calls)

    def outcome_at_end(self, reason: str, unanswered: Outcome) -> Outcome:
        """Return the outcome of a request whose time is over.

        Args:
            reason: What has ended it.
            unanswered: Its outcome if it may have run without a response.
        """
        if self._forwarder.started:
            return CutOff(reason)
        if self._send_limit.runs:
            return unanswered
        return Refused(reason, self._settings.retry_after_s)

    async def _try_once(self) -> Outcome | None:
        """Try a peer or a target; ``None`` means that another may follow."""
        alternative = self._alternative.take()
        if alternative is not None:
            return await self._run_attempt(alternative)
        service = self._job.service
        if not await self._version.confirm():
            return await self._final_outcome(
                Refused('targets not confirmed', self._settings.retry_after_s)
            )
        await self._context.reach.settle(service)
        attempt: Attempt | Refused
        if self._context.reach.is_cut(service):
            attempt = self._selection.refuse_unreached()
        else:
            attempt = self._selection.take(self._avoid)
        if isinstance(attempt, Refused) and attempt.elsewhere:
            outcome = await self._peers.run(self._job, self._context, attempt)
            if not isinstance(outcome, NotTaken):
                return outcome
            attempt = self._selection.take(self._avoid)
        if isinstance(attempt, Refused):
            return await self._final_outcome(attempt)
        return await self._run_attempt(attempt)

    async def _final_outcome(self, refusal: Refused) -> Outcome:
        """Return the outcome when no further attempt is possible."""
        if self._forwarder.started:
            return CutOff(refusal.reason)
        if self._failure is not None:
            head, body = self._failure
            return await self._forwarder.forward_whole(head, body)
        if self._send_limit.runs:
            return Failed(refusal.reason)
        return refusal

    async def _run_attempt(self, attempt: Attempt) -> Outcome | None:
        """Run one attempt; ``None`` means that another may follow."""
        self._recorder.record_dispatch(attempt, self._send_limit.sends)
        try:
            return await self._send(attempt)
        except RelayError as error:
            return await self._handle_failure(attempt, error)

    def _may_repeat(self) -> bool:
        """Return whether the request may run again after this run."""
        return self._send_limit.may_run_again(self._job.route)

    async def _send(self, attempt: Attempt) -> Outcome | None:
        cache_handle = await self._prefill.read(self._job, attempt)
        refusal = self._selection.refusal(attempt.started_at)
        if refusal is not None:
            if cache_handle is not None:
                await self._context.targets.drop_prompt(cache_handle)
            return await self._final_outcome(refusal)
        if not self._context.selector.accepts_requests(
            attempt.target, attempt.started_at
        ):
            attempt = await self._reselect_target(attempt, cache_handle)
        dispatch = Dispatch(
            attempt.target.key,
            self._job.rank,
            0 if cache_handle else attempt.placement.fresh_tokens,
            self._context.clock(),
            attempt.placement.first_s,
        )
        with self._context.loads.counted(dispatch):
            return await self._call(attempt, cache_handle, dispatch)

    async def _reselect_target(
        self,
        attempt: Attempt,
        cache_handle: CacheHandle | None,
    ) -> Attempt:
        """Replace a target that stopped accepting requests in the prefill.

        Raises:
            NotRunError: If no other target is available.
        """
        selected = None
        if self._service.engine is not None:
            selected = self._context.selector.select_generator(
                self._job,
                self._service.engine,
                self._version.excluded() | self._avoid | {attempt.target.key},
            )
        if selected is None:
            if cache_handle is not None:
                await self._context.targets.drop_prompt(cache_handle)
            raise NotRunError('no target accepts the prefilled prompt')
        self._context.selector.record_dispatch(selected)
        return dataclasses.replace(attempt, target=selected)

    async def _call(
        self,
        attempt: Attempt,
        cache_handle: CacheHandle | None,
        dispatch: Dispatch,
    ) -> Outcome | None:
        self._send_limit.record_run()
        call = TargetCall(
            self._job,
            attempt.target,
            self._job.deadline,
            cache_handle,
            self._forwarder.resume_after,
            self._may_repeat(),
        )
        limit = self._silence_limit(attempt)
        try:
            response = await open_response(self._context, call, limit)
        except NotSentError:
            self._send_limit.runs -= 1
            raise
        except NotRunError:
            self._send_limit.runs -= 1
            self._recorder.record_refusal(attempt, cache_handle)
            raise
        try:
            return await self._forward(response, attempt, dispatch, limit)
        finally:
            response.close()

    def _silence_limit(self, attempt: Attempt) -> SilenceLimit:
        timeouts = response_timeouts(
            self._job.route,
            attempt,
            self._settings,
            may_repeat=self._may_repeat(),
        )
        return SilenceLimit(
            timeouts,
            lambda: self._reserve_other(attempt),
            self._alternative.release,
        )

    def _reserve_other(self, attempt: Attempt) -> bool:
        """Reserve an attempt at another target than a silent one."""
        self._recorder.record_silence(attempt)
        if not self._may_repeat() or not self._forwarder.can_resume():
            return False
        if not self._version.is_confirmed():
            return False
        if not self._selection.stop_check.may_begin():
            return False
        return self._alternative.reserve(self._avoid | {attempt.target.key})

    async def _forward(
        self,
        response: TargetResponse,
        attempt: Attempt,
        dispatch: Dispatch,
        limit: SilenceLimit,
    ) -> Outcome | None:
        head = response.head
        if head.succeeded and not head.signed:
            raise AnswerLostError('success without signature')
        self._recorder.count()
        is_stream = self._job.route.kind is RouteKind.STREAM
        if is_stream and self._forwarder.is_stream(head):
            return await self._forward_stream(
                response, attempt, dispatch, limit
            )
        if self._forwarder.started:
            self._recorder.record_begun(attempt, dispatch)
            self._avoid.add(attempt.target.key)
            return self._finish_failed_run(f'status {head.status} in a stream')
        body = await response.read(self._settings.max_body_bytes)
        self._recorder.record_begun(attempt, dispatch)
        if head.succeeded and response.framed:
            clear_request(self._context, self._job)
        if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self._failure = head, body
            if self._may_repeat():
                self._avoid.add(attempt.target.key)
                return None
        return await self._forwarder.forward_whole(head, body)

    async def _forward_stream(
        self,
        response: TargetResponse,
        attempt: Attempt,
        dispatch: Dispatch,
        limit: SilenceLimit,
    ) -> Outcome:
        try:
            outcome = await self._forwarder.forward_stream(
                response,
                limit,
                lambda: self._recorder.record_begun(attempt, dispatch),
                lambda: self._version.record_first_event(attempt.target),
            )
        finally:
            self._recorder.record_stream_end(
                attempt,
                framed=response.framed,
                inside_event=self._forwarder.is_inside_event,
            )
        if response.framed and not self._forwarder.is_inside_event:
            # The end of a stream without framing may be that of its target.
            clear_request(self._context, self._job)
        return outcome

    async def _handle_failure(
        self,
        attempt: Attempt,
        error: RelayError,
    ) -> Outcome | None:
        """Record a failed attempt and return the outcome if it was the last.

        ``None`` means that the request may be sent again.
        """
        target = attempt.target
        self._avoid.add(target.key)
        self._recorder.record_failure(
            attempt,
            error,
            started=self._forwarder.started,
            may_repeat=self._may_repeat() and self._forwarder.can_resume(),
        )
        if not isinstance(error, NotRunError):
            self._context.reach.suspect(target.service)
        match error:
            case NotRunError():
                return None
            case NotSentError():
                self._send_limit.refund()
                self._context.selector.observe(target, Unreachable())
                return None
            case TargetSilentError():
                self._recorder.record_silence(attempt)
            case _:
                self._context.selector.observe(target, Unreachable())
        if isinstance(error, AnswerLostError) and error.broken:
            await suspect_request(self._context, self._job, target)
        return self._finish_failed_run(str(error))

    def _finish_failed_run(self, reason: str) -> Outcome | None:
        self._forwarder.drop_partial_event()
        if self._service.engine is None:
            self._recorder.count()
        if self._may_repeat() and self._forwarder.can_resume():
            return None
        if self._forwarder.started:
            return CutOff(reason)
        return Failed(reason)
