"""Records the events of a request while it runs."""

from collections.abc import Collection

from geranium_policy.health import Responded, ResponseTimeout
from geranium_policy.retry_share import RetryKind

from .attempts import Attempt
from .broken_connections import BrokenConnection
from .call_errors import AnswerLostError, NotRunError, NotSentError
from .crash_suspicion import record_life
from .load_tracker import Dispatch
from .messages import CacheHandle, Job
from .run_context import RunContext


class RequestRecorder:
    """Reports one request to the log, the peers, the policies and usage."""

    def __init__(
        self, job: Job, context: RunContext, *, counted: bool = False
    ) -> None:
        self._job = job
        self._context = context
        self.counted = counted
        self._silent: Attempt | None = None

    def record_dispatch(self, attempt: Attempt, send: int) -> None:
        """Record that the request is sent to a target."""
        placement = attempt.placement
        selector = self._context.selector
        selector.record_dispatch(attempt.target, attempt.reader)
        prompt = self._job.arrival.prompt
        self._context.log.record(
            'dispatched',
            request=self._job.arrival.identity,
            send=send,
            rank=self._job.rank,
            late=self._job.is_late,
            target=attempt.target.key,
            version=attempt.target.software_version,
            reader=placement.reader,
            fresh_tokens=placement.fresh_tokens,
            max_generated=None if prompt is None else prompt.max_generated,
            wait_s=round(placement.wait_s, 4),
            first_s=round(placement.first_s, 4),
            began_as=self._job.arrival.began_as,
        )
        if prompt is None:
            return
        for key in filter(None, (placement.reader, placement.generator)):
            selector.prefix_caches.add(key, prompt.parts)
            self._context.outbox.record_dispatch(key, prompt.parts)

    def record_begun(self, attempt: Attempt, dispatch: Dispatch) -> None:
        """Record the first token or response: the target runs the request."""
        dispatch.started = True
        record_life(self._context, self._job, attempt.target, dispatch.sent_at)
        self._context.telemetry.record_attempt('Begun')
        now = self._context.clock()
        if attempt.reader is None:
            self._context.selector.observe_latency(attempt.target, dispatch)
        self._context.selector.refusals.record_accepted(attempt.target.key)
        expected_s = attempt.placement.first_s
        self._context.selector.observe(
            attempt.target,
            Responded(
                now - dispatch.sent_at,
                expected_s or self._job.route.target_latency_s,
            ),
        )
        self._context.log.record(
            'begun',
            request=self._job.arrival.identity,
            target=attempt.target.key,
            expected_s=round(expected_s, 4),
            taken_s=round(now - attempt.started_at, 4),
        )

    def record_failure(
        self,
        attempt: Attempt,
        error: Exception,
        *,
        started: bool,
        may_repeat: bool,
    ) -> None:
        """Record a failed attempt.

        Args:
            attempt: The attempt.
            error: Why it failed.
            started: Whether the caller has a part of the response.
            may_repeat: Whether its route and its runs allow another attempt.
        """
        self._context.telemetry.record_attempt(type(error).__name__)
        self._context.log.record(
            'attempt_failed',
            request=self._job.arrival.identity,
            target=attempt.target.key,
            error=repr(error),
            started=started,
            may_repeat=may_repeat,
            connection=broken_connection_fields(error),
        )
        if isinstance(error, (NotSentError, NotRunError)):
            withdraw_prompt(
                self._job, self._context, attempt.placement.generator
            )

    def record_refusal(
        self, attempt: Attempt, cache_handle: CacheHandle | None
    ) -> None:
        """Record that a target has refused the request.

        It also does so if it can't fetch the prefilled prompt.
        """
        now = self._context.clock()
        refusals = self._context.selector.refusals
        refusals.record_refused(attempt.target.key, now)
        if cache_handle is not None:
            refusals.record_refused(cache_handle.source.key, now)

    def record_silence(self, attempt: Attempt) -> None:
        """Record, once for an attempt, that its target is silent."""
        if attempt is self._silent:
            return
        self._silent = attempt
        self._context.selector.observe(attempt.target, ResponseTimeout())
        self._context.log.record(
            'target_silent',
            request=self._job.arrival.identity,
            target=attempt.target.key,
            waited_s=round(self._context.clock() - attempt.started_at, 3),
        )

    def record_stream_end(
        self, attempt: Attempt, *, framed: bool, inside_event: bool
    ) -> None:
        """Record an end that the framing of the stream doesn't explain."""
        if framed and not inside_event:
            return
        self._context.log.record(
            'stream_ended',
            request=self._job.arrival.identity,
            target=attempt.target.key,
            framed=framed,
            inside_event=inside_event,
        )

    def count(self) -> None:
        """Count the request for usage, at most once."""
        if self.counted or self._job.team is None:
            return
        self.counted = True
        self._context.usage.count(self._job.team.name)


def broken_connection_fields(error: Exception) -> dict[str, object] | None:
    """Return what the log says of the connection that broke, if one did."""
    match error:
        case AnswerLostError(connection=BrokenConnection() as broken):
            return broken.fields()
        case NotSentError(connection=BrokenConnection() as broken):
            return broken.fields()
        case _:
            return None


def withdraw_prompt(job: Job, context: RunContext, target: str) -> None:
    """Take back that an engine keeps a prompt, which it has not run."""
    prompt = job.arrival.prompt
    if prompt is not None:
        context.selector.prefix_caches.withdraw(target, prompt.parts)
        context.outbox.withdraw_dispatch(target, prompt.parts)


def record_busy(
    job: Job, context: RunContext, avoid: Collection[str], free_in_s: float
) -> None:
    """Record that no engine can start a request in time."""
    context.log.record(
        'engines_busy',
        request=job.arrival.identity,
        service=job.service,
        rank=job.rank,
        avoided=sorted(avoid),
        free_in_s=round(free_in_s, 3),
        objective_s=job.route.target_latency_s,
    )


def record_repeat(
    job: Job, context: RunContext, kind: RetryKind, *, taken: bool
) -> None:
    """Record a call beyond the first of a request, or that none was left.

    Args:
        job: The request.
        context: The components of the host.
        kind: What the call is.
        taken: Whether the retry budget allowed the call.
    """
    context.telemetry.record_repeat(kind.value, taken=taken)
    state = context.retries.state(job.service, context.clock())
    context.log.record(
        'repeat_asked',
        request=job.arrival.identity,
        service=job.service,
        kind=kind.value,
        taken=taken,
        used=state.used,
        allowed=round(state.allowed_by_kind[kind], 2),
        hosts=state.hosts,
    )
