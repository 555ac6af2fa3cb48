"""Runs one admitted request until it has an outcome."""

from http import HTTPStatus

from geranium_policy.health import Unreachable

from .alternative_attempt import AlternativeAttempt
from .attempt_selection import AttemptSelection
from .attempts import Attempt
from .call_errors import (
    AnswerLostError,
    NotRunError,
    NotSentError,
    RelayError,
    TargetSilentError,
)
from .catalogue import RouteKind, Service
from .crash_suspicion import BreakCause, clear_request, suspect_request
from .messages import Job, ResponseHead
from .open_calls import CallOpener, OpenCall, RequestParts
from .outcomes import (
    CutOff,
    Failed,
    Outcome,
    Refused,
    with_calls,
)
from .peer_attempts import NotTaken, PeerAttempts
from .peer_forwarding import ForwardedRequest, RunProgress
from .ports import ResponseSink
from .prefill_runner import PrefillRunner
from .request_recorder import RequestRecorder
from .response_forwarder import ResponseForwarder
from .run_context import RunContext
from .run_settings import RunSettings
from .send_limit import SendLimit
from .stream_origins import StreamVersion


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
        self._reconnect: set[str] = set()
        self._send_limit = SendLimit(
            job.service,
            context.retries,
            settings,
            context.clock,
            progress,
        )
        self._selection = AttemptSelection(
            job,
            service,
            context,
            settings,
            self._version,
            self._send_limit,
        )
        parts = RequestParts(
            self._selection,
            self._send_limit,
            self._recorder,
            self._version,
            self._forwarder,
            self._avoid,
            self._reconnect,
        )
        self._opener = CallOpener(
            job,
            service,
            context,
            PrefillRunner(context, settings, self._send_limit.prefill),
            parts,
        )
        self._alternative = AlternativeAttempt(
            job, settings, parts, self._open_alternative
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
            await self._alternative.close()
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
            return await self._forward_call(alternative)
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
            opened = await self._opener.open(
                attempt, self._alternative.limit_for
            )
        except RelayError as error:
            return await self._handle_failure(attempt, error)
        if isinstance(opened, Refused):
            return await self._final_outcome(opened)
        return await self._forward_call(opened)

    async def _open_alternative(self, attempt: Attempt) -> OpenCall | None:
        """Open the call of an attempt beside that of a silent target."""
        self._recorder.record_dispatch(attempt, self._send_limit.sends)
        try:
            opened = await self._opener.open(
                attempt, self._alternative.limit_for, beside_another=True
            )
        except RelayError as error:
            await self._record_failure(attempt, error)
            return None
        if isinstance(opened, Refused):
            return None
        head = opened.response.head
        if head.succeeded and head.signed:
            return opened
        with opened:
            lost = AnswerLostError(f'status {head.status}')
            await self._record_failure(opened.attempt, lost)
        return None

    async def _forward_call(self, opened: OpenCall) -> Outcome | None:
        try:
            with opened:
                return await self._forward(opened)
        except RelayError as error:
            return await self._handle_failure(opened.attempt, error)

    def _may_repeat(self) -> bool:
        """Return whether the request may run again after this run."""
        return self._send_limit.may_run_again(self._job.route)

    async def _forward(self, opened: OpenCall) -> Outcome | None:
        response = opened.response
        head = response.head
        if head.succeeded and not head.signed:
            raise AnswerLostError('success without signature')
        self._recorder.count()
        is_stream = self._job.route.kind is RouteKind.STREAM
        if is_stream and self._forwarder.is_stream(head):
            return await self._forward_stream(opened)
        if self._forwarder.started:
            self._recorder.record_begun(opened.attempt, opened.dispatch)
            self._avoid.add(opened.attempt.target.key)
            return await self._finish_failed_run(
                f'status {head.status} in a stream'
            )
        return await self._forward_whole(opened)

    async def _forward_whole(self, opened: OpenCall) -> Outcome | None:
        response = opened.response
        head = response.head
        body = await response.read(self._settings.max_body_bytes)
        self._recorder.record_begun(opened.attempt, opened.dispatch)
        if head.succeeded and response.framed:
            clear_request(self._context, self._job)
        if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self._failure = head, body
            if await self._alternative.wait() or self._may_repeat():
                self._avoid.add(opened.attempt.target.key)
                return None
        opened.limit.release()
        return await self._forwarder.forward_whole(head, body)

    async def _forward_stream(self, opened: OpenCall) -> Outcome:
        response = opened.response
        try:
            outcome = await self._forwarder.forward_stream(
                response,
                opened.limit,
                lambda: self._recorder.record_begun(
                    opened.attempt, opened.dispatch
                ),
                lambda: self._version.record_first_event(opened.attempt.target),
            )
        finally:
            self._recorder.record_stream_end(
                opened.attempt,
                framed=response.framed,
                inside_event=self._forwarder.is_inside_event,
            )
        if response.framed and not self._forwarder.is_inside_event:
            # The end of a stream without framing may be that of its target.
            clear_request(self._context, self._job)
        return outcome

    async def _handle_failure(
        self, attempt: Attempt, error: RelayError
    ) -> Outcome | None:
        """Record a failed attempt and return the outcome if it was the last.

        ``None`` means that the request may be sent again.
        """
        await self._record_failure(attempt, error)
        match error:
            case NotRunError() | NotSentError():
                await self._alternative.wait()
                return None
            case _:
                return await self._finish_failed_run(str(error))

    async def _record_failure(
        self, attempt: Attempt, error: RelayError
    ) -> None:
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
                return
            case NotSentError():
                self._send_limit.refund()
                self._context.selector.observe(target, Unreachable())
            case TargetSilentError():
                self._recorder.record_silence(attempt)
            case _:
                self._context.selector.observe(target, Unreachable())
        may_reconnect = error.stale_connection
        if isinstance(error, AnswerLostError) and error.broken:
            cause = await suspect_request(self._context, self._job, target)
            may_reconnect &= cause is BreakCause.CONNECTION
            if cause is BreakCause.CRASH:
                self._send_limit.crashed_runs += 1
        if may_reconnect:
            self._avoid.discard(target.key)
            self._reconnect.add(target.key)

    async def _finish_failed_run(self, reason: str) -> Outcome | None:
        self._forwarder.drop_partial_event()
        if self._service.engine is None:
            self._recorder.count()
        if await self._alternative.wait():
            return None
        if self._may_repeat() and self._forwarder.can_resume():
            return None
        if self._forwarder.started:
            return CutOff(reason)
        return Failed(reason)
