"""Passes one request on to hosts that reach its service."""

import dataclasses

from .call_errors import AnswerLostError, NotSentError, RelayError
from .catalogue import RouteKind
from .messages import Job, PeerIdentity
from .outcomes import CutOff, Failed, Outcome, Refused
from .peer_forwarding import (
    ForwardedRequest,
    PeerFailedError,
    PeerRefusedError,
    PeerResponse,
    RunProgress,
)
from .request_recorder import RequestRecorder, broken_connection_fields
from .response_forwarder import ResponseForwarder
from .run_context import RunContext
from .run_settings import RunSettings
from .send_limit import SendLimit
from .silence import silence_limit
from .stop_check import StopCheck
from .stream_origins import StreamVersion


@dataclasses.dataclass(frozen=True, slots=True)
class NotTaken:
    """No other host has taken the request."""


class PeerAttempts:
    """Tries other hosts for one request, a few at most.

    Args:
        forwarder: Writes the response to the caller.
        recorder: Knows whether the request was counted.
        version: The version at which its stream may go on.
        send_limit: Counts its sends and runs.
        settings: Limits.
        stop_check: Refuses it if this host stops too soon.
    """

    def __init__(
        self,
        forwarder: ResponseForwarder,
        recorder: RequestRecorder,
        version: StreamVersion,
        send_limit: SendLimit,
        settings: RunSettings,
        stop_check: StopCheck,
    ) -> None:
        self._forwarder = forwarder
        self._recorder = recorder
        self._version = version
        self._send_limit = send_limit
        self._settings = settings
        self._stop_check = stop_check
        self._tried: list[str] = []

    async def run(
        self, job: Job, context: RunContext, refusal: Refused
    ) -> Outcome | NotTaken | None:
        """Pass a job on to hosts until one has taken it.

        ``None`` means that the request may be sent again after a run whose
        response was lost.

        Args:
            job: The request.
            context: The components of the host.
            refusal: Why this host does not send it.
        """
        outcome: Outcome | NotTaken | None = NotTaken()
        while isinstance(outcome, NotTaken):
            stopping = self._stop_check.refusal(context.clock())
            if stopping is not None:
                return stopping
            peer = self._next_peer(job, context, refusal.hosts)
            if peer is None:
                break
            outcome = await self._try_peer(job, context, peer)
        return outcome

    def _next_peer(
        self, job: Job, context: RunContext, hosts: frozenset[str]
    ) -> PeerIdentity | None:
        if job.forwarded:
            # A request is passed on once.
            return None
        # A host with a share of a limit knows when others could send.
        max_peers = 1 if hosts else self._settings.max_peers
        if len(self._tried) >= max_peers:
            return None
        return context.peer_client.choose(job.service, self._tried, hosts)

    def _may_go_on(self, job: Job, context: RunContext) -> bool:
        """Return whether the request may go on at a further host."""
        if not self._send_limit.may_run_again(job.route):
            return False
        if not self._forwarder.can_resume():
            return False
        return self._next_peer(job, context, frozenset()) is not None

    async def _try_peer(
        self, job: Job, context: RunContext, peer: PeerIdentity
    ) -> Outcome | NotTaken | None:
        self._tried.append(peer.host)
        context.log.record(
            'request_forwarded',
            request=job.arrival.identity,
            peer=peer.host,
            service=job.service,
            place=len(self._tried),
        )
        request = self._request(job, context)
        # It may have run as soon as it is sent.
        self._send_limit.record_forwarded_run()
        try:
            response = await context.peer_client.send(
                peer, request, lambda: self._may_go_on(job, context)
            )
        except (NotSentError, PeerRefusedError) as error:
            self._send_limit.remove_forwarded_run()
            if isinstance(error, PeerRefusedError):
                self._send_limit.add_calls(error.refusal.calls)
            self._record_failure(job, context, error)
            return self._outcome_untaken(error)
        except RelayError as error:
            return self._finish_lost(job, context, error)
        return await self._forward(job, context, response)

    def _outcome_untaken(
        self, error: NotSentError | PeerRefusedError
    ) -> Outcome | NotTaken:
        match error:
            case PeerRefusedError(refusal=refusal) if not refusal.elsewhere:
                return self._refused(refusal)
            case _:
                return NotTaken()

    async def _forward(
        self, job: Job, context: RunContext, response: PeerResponse
    ) -> Outcome | None:
        # The host that sends the request counts it.
        self._recorder.counted = True
        context.telemetry.record_forward('taken')
        try:
            return await self._write(job, response)
        except RelayError as error:
            return self._finish_lost(job, context, error)
        finally:
            response.close()

    async def _write(self, job: Job, response: PeerResponse) -> Outcome:
        head = response.head
        if head.succeeded and not head.signed:
            raise AnswerLostError('success without signature')
        is_stream = job.route.kind is RouteKind.STREAM
        if is_stream and self._forwarder.is_stream(head):
            return await self._forwarder.forward_stream(
                response,
                # The other host continues silent streams.
                silence_limit(bool),
                lambda: None,
                lambda: self._record_first_event(response),
            )
        if self._forwarder.started:
            raise AnswerLostError(f'status {head.status} in a stream')
        body = await response.read(self._settings.max_body_bytes)
        return await self._forwarder.forward_whole(head, body)

    def _record_first_event(self, response: PeerResponse) -> None:
        if response.version is not None:
            self._version.record_version(response.version)

    def _request(self, job: Job, context: RunContext) -> ForwardedRequest:
        arrival = job.arrival
        began_as = arrival.began_as
        if self._forwarder.started and began_as is None:
            began_as = arrival.identity
        return ForwardedRequest(
            context.peer_client.own_name,
            job.route.host,
            job.key,
            dataclasses.replace(
                arrival,
                caller_deadline=job.deadline,
                resume_after=self._forwarder.resume_after,
                began_as=began_as,
            ),
            job.service,
            job.due_at,
            RunProgress(
                self._send_limit.sends,
                self._send_limit.runs,
                self._send_limit.first_recorded,
                self._recorder.counted,
                self._version.known,
                self._send_limit.prefill.accepted,
            ),
        )

    def _refused(self, refusal: Refused) -> Outcome:
        if self._forwarder.started:
            return CutOff(refusal.reason)
        if self._send_limit.runs:
            return Failed(refusal.reason)
        return dataclasses.replace(refusal, elsewhere=False)

    def _finish_lost(
        self, job: Job, context: RunContext, error: RelayError
    ) -> Outcome | None:
        """Return the outcome unless the request may be sent again."""
        self._record_failure(job, context, error)
        if isinstance(error, PeerFailedError):
            self._send_limit.add_calls(error.calls)
            self._recorder.counted |= error.calls.counted
        else:
            # An engine may have accepted a prefill call of the other host.
            self._send_limit.prefill.accepted = True
        self._forwarder.drop_partial_event()
        may_repeat = self._send_limit.may_run_again(job.route)
        if may_repeat and self._forwarder.can_resume():
            return None
        if self._forwarder.started:
            return CutOff(str(error))
        return Failed(str(error))

    def _record_failure(
        self, job: Job, context: RunContext, error: Exception
    ) -> None:
        context.telemetry.record_forward(type(error).__name__)
        context.log.record(
            'forwarding_failed',
            request=job.arrival.identity,
            peer=self._tried[-1],
            error=repr(error),
            started=self._forwarder.started,
            may_repeat=self._send_limit.may_run_again(job.route)
            and self._forwarder.can_resume(),
            connection=broken_connection_fields(error),
        )
