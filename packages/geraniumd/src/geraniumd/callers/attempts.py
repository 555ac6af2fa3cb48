"""The attempts at one request: what was tried, and what may be said of it."""

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
    """All attempts at one request.

    ``was_sent`` tells that a target may have run it: from then on no
    refusal may say that it did not run. ``deadline`` is an instant of the
    monotonic clock in seconds.
    """

    record: RequestRecord
    deadline: float
    excluded: set[str] = dataclasses.field(default_factory=set)
    silent: set[str] = dataclasses.field(default_factory=set)
    was_sent: bool = False
    detail: str = ''

    def failed(
        self,
        failure: AttemptFailure,
        *,
        idempotent: bool,
    ) -> FailedAttempt:
        """Return the last attempt as the retry policy takes it."""
        return FailedAttempt(
            failure,
            idempotent,
            self.record.attempts,
            self.deadline,
        )

    def final_outcome(self, title: str) -> Outcome:
        """Return the outcome of a request that no target answered."""
        if self.was_sent:
            return OutcomeUnknown(title, self.detail)
        return NotRun(
            HTTPStatus.SERVICE_UNAVAILABLE,
            title,
            self.detail,
            retry_after_s=RETRY_AFTER_S,
        )


class AttemptRecorder:
    """Writes each attempt's result to the record, the log and metrics."""

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
        """Take down an attempt that brought the whole answer."""
        self._count(entry, 'completed')

    def record_failure(
        self,
        attempts: Attempts,
        entry: FleetEntry,
        error: TargetError,
    ) -> AttemptFailure:
        """Take down a failed attempt and return it as policies see it.

        A target that failed is not preferred again. One that fell silent
        gets a second chance on a new connection, since a connection can go
        silent by itself.
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
        """Count events of other requests or offsets that were left out."""
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
