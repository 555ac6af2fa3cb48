"""Records of requests and their steps, shown to operators."""

import collections
import dataclasses

from geranium_coordination import Clock
from geranium_policy import EngineChoice

RECENT_LIMIT = 2000
_EXPLAINED_ESTIMATES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedStep:
    """A step of a request; ``at`` is in seconds of the monotonic clock.

    ``detail`` is formatted only when the step is shown.
    """

    at: float
    text: str
    detail: object = None

    def __str__(self) -> str:
        """Return the step as shown to operators."""
        if self.detail is None:
            return self.text
        return f'{self.text}: {self.detail}'


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """The state and the steps of one request on this daemon."""

    request_id: str
    execution_id: str
    team: str
    service: str
    clock: Clock
    arrived_at: float
    target: str = ''
    attempts: int = 0
    first_token_at: float | None = None
    ended_at: float | None = None
    outcome: str = 'running'
    steps: list[RecordedStep] = dataclasses.field(default_factory=list)

    def add_step(self, text: str, detail: object = None) -> None:
        """Add a step."""
        self.steps.append(RecordedStep(self.clock.now(), text, detail))

    def record_attempt(self, target: str) -> None:
        """Record that the request is sent to a target."""
        self.target = target
        self.attempts += 1
        self.add_step(f'sent to {target}')

    def record_choice(self, choice: EngineChoice) -> None:
        """Record that the request is sent to an engine, and the reason."""
        self.record_attempt(choice.engine.name)
        self.add_step(f'chosen because: {choice.reason}')
        for estimate in choice.considered[:_EXPLAINED_ESTIMATES]:
            self.add_step('weighed', estimate)

    def mark_first_token(self) -> None:
        """Record the instant of the first token; later calls do nothing."""
        if self.first_token_at is None:
            self.first_token_at = self.clock.now()
            self.add_step('first token')

    def record_end(self, outcome: str) -> None:
        """Record the request's outcome and its end."""
        self.outcome = outcome
        self.ended_at = self.clock.now()
        self.add_step(f'ended: {outcome}')


class RequestLog:
    """Records of running requests and of the most recent ended ones."""

    def __init__(self, clock: Clock, limit: int = RECENT_LIMIT) -> None:
        self._clock = clock
        self.running_by_execution: dict[str, RequestRecord] = {}
        self.recent: collections.deque[RequestRecord] = collections.deque(
            maxlen=limit,
        )

    def begin(
        self,
        request_id: str,
        execution_id: str,
        team: str,
        service: str,
    ) -> RequestRecord:
        """Open and return the record of a request that starts now."""
        record = RequestRecord(
            request_id=request_id,
            execution_id=execution_id,
            team=team,
            service=service,
            clock=self._clock,
            arrived_at=self._clock.now(),
        )
        self.running_by_execution[execution_id] = record
        return record

    def end(self, record: RequestRecord, outcome: str) -> None:
        """Close a record and move it to the recent ones."""
        record.record_end(outcome)
        self.running_by_execution.pop(record.execution_id, None)
        self.recent.append(record)

    def find(self, request_id: str) -> tuple[RequestRecord, ...]:
        """Return all records with this request id, oldest first."""
        return tuple(
            record
            for record in (*self.recent, *self.running_by_execution.values())
            if record.request_id == request_id
        )
