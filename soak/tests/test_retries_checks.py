"""The retry budget counts what targets saw, whatever hosts counted."""

import dataclasses

import pytest
from geranium_soak import Bounds, Ledger
from geranium_soak.checks.retries import retries_keep_to_the_budget
from geranium_soak.observations import Prefill, RequestKind, Response

from .test_checks import RESPONSE, SENT, TAKEN, TARGET_REQUEST, record

BOUNDS = Bounds()
REQUESTS = 120
ALLOWED = 80  # 0.2 x 120 + 56
SENT_AT = 100
SPAN_S = 8
EXTRA_AT = 109  # all requests lie in the window before
LAST = str(REQUESTS - 1)
PREFILL_CASES = (
    (ALLOWED, Prefill.REFUSED, 0),
    (ALLOWED + 1, Prefill.REFUSED, 1),
    (REQUESTS, Prefill.ACCEPTED, 0),
)


def make_ledger(
    extra_by_number, *, span_s=SPAN_S, prefill=None, extra_at=EXTRA_AT
):
    """Return a ledger of requests, some with one or more extra arrivals."""
    ledger = Ledger()
    for number in range(REQUESTS):
        identity = str(number)
        at = SENT_AT + number * span_s / REQUESTS
        sent = dataclasses.replace(
            SENT, identity=identity, kind=RequestKind.RESUMABLE, at=at
        )
        taken = dataclasses.replace(TAKEN, identity=identity, service='llm')
        run = dataclasses.replace(TARGET_REQUEST, taken=taken, at=at)
        extras = [
            dataclasses.replace(
                run,
                at=at + span_s if extra_at is None else extra_at,
                ran_at=None,
                responses={},
                prefill=prefill,
            )
            for _ in range(extra_by_number.get(number, 0))
        ]
        record(ledger, sent, [*extras, run], RESPONSE)
    return ledger


def violations(ledger) -> int:
    return len(list(retries_keep_to_the_budget(ledger, BOUNDS)))


@pytest.mark.parametrize(
    ('extra', 'expected'), [(ALLOWED, 0), (ALLOWED + 1, 1)]
)
def test_arrivals_beyond_the_first(extra, expected) -> None:
    ledger = make_ledger(dict.fromkeys(range(extra), 1))

    assert violations(ledger) == expected


@pytest.mark.parametrize(('calls', 'prefill', 'expected'), PREFILL_CASES)
def test_prefill_calls(calls, prefill, expected) -> None:
    extra_by_number = dict.fromkeys(range(calls), 1)

    assert violations(make_ledger(extra_by_number, prefill=prefill)) == expected


@pytest.mark.parametrize(('calls', 'expected'), [(2, 0), (3, 1)])
def test_further_prefill_calls_of_a_request(calls, expected) -> None:
    """The first accepted call of each is free."""
    extra_by_number = dict.fromkeys(range(ALLOWED // 2 + 1), calls)
    ledger = make_ledger(extra_by_number, prefill=Prefill.ACCEPTED)

    assert violations(ledger) == expected


def test_arrivals_in_different_windows() -> None:
    every = dict.fromkeys(range(REQUESTS), 1)

    assert not violations(make_ledger(every, span_s=40, extra_at=None))


@pytest.mark.parametrize(('extra_at', 'expected'), [(109, 0), (121, 1)])
def test_requests_of_the_window_before_count(extra_at, expected) -> None:
    ledger = make_ledger({0: ALLOWED}, extra_at=extra_at)

    assert violations(ledger) == expected


def test_requests_without_a_route_do_not_count() -> None:
    ledger = make_ledger(dict.fromkeys(range(ALLOWED), 1))
    ledger.outcome_by_id[LAST] = Response(404, None, b'', 110)

    assert violations(ledger) == 1


def test_requests_of_another_service_do_not_count() -> None:
    ledger = make_ledger(dict.fromkeys(range(ALLOWED), 1))
    ledger.sent_by_id[LAST] = dataclasses.replace(
        ledger.sent_by_id[LAST], kind=RequestKind.SAFE
    )

    assert violations(ledger) == 1
