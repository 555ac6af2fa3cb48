"""Guarantees about the outcome of each request, under any faults."""

from collections.abc import Iterator
from http import HTTPStatus

from geranium_platform_standins import (
    CALL_SERVICE,
    PROMPT_SERVICE,
    ReceivedRequest,
    count_events,
    format_event,
)

from ..bounds import Bounds
from ..observations import Ledger, RequestKind, Response, SentRequest
from .violation import Violation

NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)
NON_REPEATABLE = frozenset((RequestKind.UNSAFE, RequestKind.STREAM))
STREAM_KINDS = frozenset((RequestKind.STREAM, RequestKind.RESUMABLE))
MAX_DETAIL_BYTES = 80  # of a response body in a report


def service_of(sent: SentRequest) -> str:
    """Return the service of a request's route."""
    return PROMPT_SERVICE if sent.kind in STREAM_KINDS else CALL_SERVICE


def requests_run_at_most_once(
    ledger: Ledger, bounds: Bounds
) -> Iterator[Violation]:
    """Check that no non-repeatable request runs more than once."""
    for identity, sent in ledger.sent_by_id.items():
        runs = ledger.runs(identity)
        if sent.kind in NON_REPEATABLE and len(runs) > 1:
            targets = [run.taken.target for run in runs]
            yield Violation('at most once', identity, f'ran at {targets}')


def refused_requests_do_not_run(
    ledger: Ledger, bounds: Bounds
) -> Iterator[Violation]:
    """Check that a request did not run if its response status says so."""
    for identity, outcome in ledger.outcome_by_id.items():
        if not isinstance(outcome, Response) or outcome.signature is not None:
            continue
        runs = ledger.runs(identity)
        if outcome.status in NOT_RUN_STATUSES and runs:
            target = runs[0].taken.target
            detail = f'{outcome.status}, ran at {target}'
            yield Violation('true refusal', identity, detail)


def responses_are_from_targets(
    ledger: Ledger, bounds: Bounds
) -> Iterator[Violation]:
    """Check that each signed response is what a target sent for the request.

    A response without a signature must not be a success.
    """
    for identity, outcome in ledger.outcome_by_id.items():
        if not isinstance(outcome, Response):
            continue
        sent = ledger.sent_by_id[identity]
        if outcome.signature is None:
            mismatch = outcome.status < HTTPStatus.MULTIPLE_CHOICES
        else:
            mismatch = not _matches_target(ledger, sent, outcome)
        if mismatch:
            shown = outcome.body[:MAX_DETAIL_BYTES]
            detail = f'{outcome.status} {outcome.signature} {shown!r}'
            yield Violation('own answer', identity, detail)


def _matches_target(
    ledger: Ledger, sent: SentRequest, outcome: Response
) -> bool:
    responses: dict[str, bytes] = {}
    for request in ledger.target_requests_by_id.get(sent.identity, ()):
        responses.update(request.responses)
    if outcome.signature not in responses:
        return False
    if sent.kind in STREAM_KINDS:
        return outcome.body == _rest_of_stream(sent)
    return outcome.body == responses[outcome.signature]


def _rest_of_stream(sent: SentRequest) -> bytes:
    numbers = range(sent.resume_after + 1, count_events(sent.identity) + 1)
    return b''.join(format_event(sent.identity, number) for number in numbers)


def streams_keep_their_version(
    ledger: Ledger, bounds: Bounds
) -> Iterator[Violation]:
    """Check that streams go on only at the software version that began them.

    The last run that did not resume began the stream: there is none after the
    caller got an event.
    """
    for identity, sent in ledger.sent_by_id.items():
        if sent.kind is not RequestKind.RESUMABLE:
            continue
        began = [
            run.taken.version
            for run in ledger.runs(sent.began_as or identity)
            if run.taken.resume_after is None
        ]
        resumed = [
            run.taken.version
            for run in ledger.runs(identity)
            if run.taken.resume_after is not None
        ]
        if set(resumed) - set(began[-1:]):
            detail = f'began at {began}, went on at {resumed}'
            yield Violation('own version', identity, detail)


def requests_are_unaltered(
    ledger: Ledger, bounds: Bounds
) -> Iterator[Violation]:
    """Check that targets receive requests exactly as callers sent them."""
    for identity, requests in ledger.target_requests_by_id.items():
        sent = ledger.sent_by_id.get(identity)
        for request in requests:
            mismatch = _difference(sent, request.taken)
            if mismatch is not None:
                yield Violation('as sent', identity, mismatch)
    for identity in ledger.mismatched_prompts:
        yield Violation('own prompt', identity, "went on from another's")


def _difference(sent: SentRequest | None, taken: ReceivedRequest) -> str | None:
    if sent is None:
        return f'nobody sent it, came to {taken.target}'
    if (taken.path, taken.body) != (sent.path, sent.body):
        return f'path or body changed on the way to {taken.target}'
    if taken.team != sent.team:
        return f'for team {taken.team} instead of {sent.team}'
    if taken.forged:
        return f'with headers of the caller: {taken.forged}'
    return None


def services_are_isolated(
    ledger: Ledger,
    bounds: Bounds,
) -> Iterator[Violation]:
    """Check that requests only run at the service of their route."""
    for identity, sent in ledger.sent_by_id.items():
        wanted = service_of(sent)
        for run in ledger.runs(identity):
            if run.taken.service != wanted:
                yield Violation('own service', identity, run.taken.service)
