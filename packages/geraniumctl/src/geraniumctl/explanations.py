"""Explains failures of requests from hosts' logs."""

import dataclasses
import datetime
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any, TypeAlias

Record: TypeAlias = dict[str, Any]

# A failed target is removed from the target list some seconds later.
MAX_REMOVAL_DELAY = datetime.timedelta(seconds=5)
MIN_COMPLETION_TIME_S = 0.3  # most prompts take longer, even on idle engines
SERVER_ERROR = 500
_EVENT = 'event'
_SENT_EVENTS = frozenset(('dispatched', 'begun'))
_TARGET = 'target'


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The outcome of a request and its cause.

    Args:
        request: The id of the request.
        route: The route of the request, ``-`` if it was not admitted.
        outcome: The outcome, as logged.
        cause: The cause, derived from the log records.
    """

    request: str
    route: str
    outcome: str
    cause: str


class Explainer:
    """Explains requests from the log records of all hosts."""

    def __init__(self, records: Iterable[Record]) -> None:
        self._records_by_request: dict[str, list[Record]] = defaultdict(list)
        self._started_at_by_host: dict[str, list[datetime.datetime]] = (
            defaultdict(list)
        )
        self._removed_at_by_target: dict[str, list[datetime.datetime]] = (
            defaultdict(list)
        )
        for record in records:
            request = record.get('request')
            if request is not None:
                self._records_by_request[request].append(record)
            elif record.get(_EVENT) == 'started':
                self._started_at_by_host[record['host']].append(
                    _timestamp(record),
                )
            elif record.get(_EVENT) == 'target_gone':
                at = _timestamp(record)
                self._removed_at_by_target[record[_TARGET]].append(at)
        for records_of_request in self._records_by_request.values():
            records_of_request.sort(key=_timestamp)

    def explain(self, request: str) -> Explanation | None:
        """Return the explanation of a request, ``None`` without records."""
        records = self._records_by_request.get(request)
        if not records:
            return None
        last = records[-1]
        match last.get(_EVENT):
            case 'rejected':
                cause = _rejection_cause(last)
            case 'ended':
                cause = self._outcome_cause(last, records)
            case _:
                cause = self._missing_end_cause(last)
        return Explanation(
            request,
            last.get('route', '-'),
            last.get('outcome', '-'),
            cause,
        )

    def failed(self) -> list[Explanation]:
        """Return the explanations of all requests that failed."""
        explanations = map(self.explain, self._records_by_request)
        return [
            explanation
            for explanation in explanations
            if explanation is not None and not self._is_served(explanation)
        ]

    def _is_served(self, explanation: Explanation) -> bool:
        if explanation.outcome != 'Delivered':
            return False
        last = self._records_by_request[explanation.request][-1]
        status = last.get('detail')
        return not isinstance(status, int) or status < SERVER_ERROR

    def _outcome_cause(self, end: Record, records: list[Record]) -> str:
        failures = [
            self._describe_failed_attempt(record)
            for record in records
            if record[_EVENT] == 'attempt_failed'
        ]
        history = '; '.join(failures)
        match end['outcome']:
            case 'Refused':
                reason = _refusal_cause(end, records)
                return f'{reason}; {history}' if history else reason
            case 'Delivered':
                return 'the target answered so itself'
            case 'CallerLeft':
                return _cancellation_cause(end, records)
            case _:
                reason = history or 'no response by the deadline'
                detail = end.get('detail') or 'deadline'
                return f'{reason}; then: {detail}'

    def _missing_end_cause(self, last: Record) -> str:
        host, event = last['host'], last.get(_EVENT)
        last_logged_at = _timestamp(last)
        starts = self._started_at_by_host[host]
        if any(started_at > last_logged_at for started_at in starts):
            return f'{host} went down after {event!r} and started again'
        return f'{host} logged no end after {event!r}'

    def _describe_failed_attempt(self, record: Record) -> str:
        target = record[_TARGET]
        failed_at = _timestamp(record)
        was_removed = any(
            abs(removed_at - failed_at) < MAX_REMOVAL_DELAY
            for removed_at in self._removed_at_by_target[target]
        )
        suffix = ', which went down' if was_removed else ''
        kind = record['error'].partition('(')[0]
        return f'{kind} at {target}{suffix}'


def _cancellation_cause(end: Record, records: list[Record]) -> str:
    """Describe when the caller disconnected, and the state of its request."""
    took_s, left_s = end['took_s'], end['left_s']
    message = (
        f'the caller left after {took_s} s, {left_s} s before its deadline'
    )
    sent = [record for record in records if record[_EVENT] in _SENT_EVENTS]
    if not sent:
        return message
    last = sent[-1]
    event, target = last[_EVENT], last[_TARGET]
    return f'{message}, its request {event} at {target}'


def _rejection_cause(record: Mapping[str, Any]) -> str:
    reason = record.get('reason') or 'route or key is not in the catalogue'
    version, age_s = record.get('catalogue'), record.get('catalogue_age_s')
    return f'{reason} (version {version}, {age_s} s old)'


def _refusal_cause(end: Record, records: list[Record]) -> str:
    reason = end['detail'][0]
    busy = [record for record in records if record[_EVENT] == 'engines_busy']
    if not busy:
        return str(reason)
    if end['left_s'] < MIN_COMPLETION_TIME_S:
        left_s = end['left_s']
        return f'{reason}: only {left_s} s left to the deadline'
    free_in_s = busy[-1]['free_in_s']
    return f'{reason}: the least busy one is free in {free_in_s} s'


def _timestamp(record: Mapping[str, Any]) -> datetime.datetime:
    return datetime.datetime.fromisoformat(record['timestamp'])
