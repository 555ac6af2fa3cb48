"""Records the end of each request in records, metrics and usage."""

from geranium_coordination import Clock
from geranium_model import (
    Completed,
    NotRun,
    Outcome,
    OutcomeUnknown,
    RanAndFailed,
    Usage,
)

from ..process import Telemetry, get_logger
from ..state import RequestLog, RequestRecord, UsageMeter
from .incoming_requests import IncomingRequest


class RequestAccounting:
    """Opens and closes the record of each request."""

    def __init__(
        self,
        requests: RequestLog,
        meter: UsageMeter,
        telemetry: Telemetry,
        clock: Clock,
    ) -> None:
        self._requests = requests
        self._meter = meter
        self._telemetry = telemetry
        self._clock = clock
        self._log = get_logger()

    def begin(
        self,
        incoming: IncomingRequest,
        team: str,
        service: str,
    ) -> RequestRecord:
        """Open and return the record of an accepted request."""
        return self._requests.begin(
            incoming.request_id,
            incoming.execution_id,
            team,
            service,
        )

    def end(
        self,
        record: RequestRecord,
        outcome: Outcome,
        usage: Usage,
    ) -> None:
        """Close a record with the request's outcome and usage."""
        name = outcome_name(outcome)
        self._requests.end(record, name)
        if usage != Usage():
            self._meter.add(record.team, record.service, usage)
        duration_s = self._clock.now() - record.arrived_at
        labels = {'service': record.service, 'outcome': name}
        self._telemetry.requests.add(1, labels)
        self._telemetry.request_duration.record(duration_s, labels)
        if record.first_token_at is not None:
            self._telemetry.first_token_duration.record(
                record.first_token_at - record.arrived_at,
                {'service': record.service},
            )
        self._log.info(
            'request_ended',
            request_id=record.request_id,
            execution_id=record.execution_id,
            team=record.team,
            service=record.service,
            target=record.target,
            attempts=record.attempts,
            outcome=name,
            duration_s=round(duration_s, 4),
        )


def outcome_name(outcome: Outcome) -> str:
    """Return an outcome's name in logs, metrics and operator tables."""
    match outcome:
        case Completed():
            return 'completed'
        case NotRun():
            return 'not-run'
        case RanAndFailed():
            return 'ran-and-failed'
        case OutcomeUnknown():
            return 'unknown'
