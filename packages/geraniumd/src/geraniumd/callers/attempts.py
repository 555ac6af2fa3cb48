"""Tracks the attempts at a request and derives its outcome."""

import dataclasses
from http import HTTPStatus

from geranium_coordination import Clock
from geranium_model import NotRun, Outcome, OutcomeUnknown
from geranium_policy import (
    FailedAttempt,
    HealthTracker,
    Lost,
    Refused,
    ResponseTimeout,
    ServerError,
    Unreachable,
)
from geranium_policy.attempts import AttemptFailure
from geranium_policy.health import Observation

from ..process import (
    TargetError,
    TargetFailedError,
    TargetRefusedError,
    TargetSilentError,
    Telemetry,
    get_logger,
)
from ..state import FleetEntry, RequestRecord

RETRY_AFTER_S = 1


@dataclasses.dataclass(slots=True)
class Attempts:
    """The attempts at one request.

    ``was_sent`` is true once a target may have run the request: from then on
    the outcome must not be ``NotRun``. ``silent`` holds the targets that timed
    out once. ``version`` is that of the model that began the stream, ``None``
    before its first event. ``deadline`` is an instant of the monotonic clock in
    seconds.
    """

    record: RequestRecord
    deadline: float
    excluded: set[str] = dataclasses.field(default_factory=set)
    silent: set[str] = dataclasses.field(default_factory=set)
    was_sent: bool = False
    detail: str = ''
    version: str | None = None

    def failed(
        self,
        failure: AttemptFailure,
        *,
        idempotent: bool,
    ) -> FailedAttempt:
        """Return the last attempt as input for the retry policy."""
        return FailedAttempt(
            failure,
            idempotent,
            self.record.attempts,
            self.deadline,
        )

    def final_outcome(self, title: str) -> Outcome:
        """Return the outcome of a request without a response."""
        if self.was_sent:
            return OutcomeUnknown(title, self.detail)
        return NotRun(
            HTTPStatus.SERVICE_UNAVAILABLE,
            title,
            self.detail,
            retry_after_s=RETRY_AFTER_S,
        )


class AttemptRecorder:
    """Records the results of attempts in records, logs and metrics."""

    def __init__(
        self,
        telemetry: Telemetry,
        health: HealthTracker,
        clock: Clock,
    ) -> None:
        self._telemetry = telemetry
        self._health = health
        self._clock = clock
        self._log = get_logger()

    def record_success(self, entry: FleetEntry) -> None:
        """Record an attempt that returned the complete response."""
        self._count(entry, 'completed')

    def record_failure(
        self,
        attempts: Attempts,
        entry: FleetEntry,
        error: TargetError,
    ) -> AttemptFailure:
        """Record a failed attempt and return its failure for the policies.

        A target that failed is excluded from further attempts while there
        are others. A target that timed out is tried once more on a new
        connection, since a connection may stall while its target is healthy.
        """
        result, failure = _classify(error)
        if not isinstance(error, TargetFailedError):
            self._update_health(entry, error)
        if isinstance(error, TargetSilentError) and (
            entry.name not in attempts.silent
        ):
            attempts.silent.add(entry.name)
        else:
            attempts.excluded.add(entry.name)
        entry.last_error = str(error)
        attempts.detail = f'{entry.name}: {error}'
        attempts.record.add_step(f'{result} by {entry.name}: {error}')
        self._count(entry, result)
        self._log.warning(
            'target_attempt_failed',
            request_id=attempts.record.request_id,
            execution_id=attempts.record.execution_id,
            team=attempts.record.team,
            target=entry.name,
            result=result,
            error=str(error),
        )
        return failure

    def record_dropped_events(self, count: int) -> None:
        """Count dropped events, which had a wrong request id or offset."""
        if count:
            self._telemetry.dropped_events.add(count)

    def _update_health(self, entry: FleetEntry, error: TargetError) -> None:
        observation: Observation = Unreachable()
        if isinstance(error, TargetSilentError):
            observation = ResponseTimeout()
        self._health.observe(entry.name, observation, self._clock.now())

    def _count(self, entry: FleetEntry, result: str) -> None:
        labels = {'target': entry.name, 'result': result}
        self._telemetry.attempts.add(1, labels)


def _classify(error: TargetError) -> tuple[str, AttemptFailure]:
    match error:
        case TargetRefusedError():
            return 'refused', Refused()
        case TargetFailedError(status=status):
            return 'failed', ServerError(status)
        case _:
            return 'lost', Lost()
