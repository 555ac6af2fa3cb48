"""Requests that hosts give up at targets that are sound."""

import dataclasses

import pytest
from geranium_soak import Bounds, Ledger
from geranium_soak.checks.silences import silent_targets_are_waited_for
from geranium_soak.observations import (
    CallerLeft,
    ConnectionCut,
    Disruption,
    RequestKind,
    Response,
    Sender,
)

from .test_checks import SENT, TAKEN, TARGET_REQUEST, record

BOUNDS = Bounds()
GIVEN_UP = 4
SENDER = Sender('sender', 1)
ENDED_AT = 101.2
BAD_GATEWAY = Response(502, None, b'', ENDED_AT)
SILENCE = 'target fell silent'
CASES = (
    ({}, BAD_GATEWAY, 1),
    ({}, ConnectionCut('reset', ENDED_AT, 2), 1),
    ({}, Response(502, 's', b'', ENDED_AT), 0),
    ({}, Response(503, None, b'', ENDED_AT), 0),
    ({}, CallerLeft(ENDED_AT), 0),
    ({}, dataclasses.replace(BAD_GATEWAY, at=102.1), 0),
    ({'abandoned': False}, BAD_GATEWAY, 0),
    ({'ran_at': None}, BAD_GATEWAY, 0),
)


def make_ledger(
    requests=GIVEN_UP, outcome=BAD_GATEWAY, kind=RequestKind.SAFE, **changes
):
    """Return a ledger of requests, each given up while its target worked."""
    ledger = Ledger()
    ledger.endpoint_by_target['i-1'] = 'address'
    run = dataclasses.replace(
        TARGET_REQUEST,
        sender=SENDER,
        ended_at=ENDED_AT,
        abandoned=True,
        responses={},
    )
    for number in range(requests):
        identity = str(number)
        sent = dataclasses.replace(SENT, identity=identity, kind=kind)
        taken = dataclasses.replace(TAKEN, identity=identity)
        given_up = dataclasses.replace(run, taken=taken, **changes)
        record(ledger, sent, [given_up], outcome)
    return ledger


def violations(ledger) -> int:
    return len(list(silent_targets_are_waited_for(ledger, BOUNDS)))


@pytest.mark.parametrize(('requests', 'expected'), [(3, 0), (4, 1)])
def test_requests_given_up_at_sound_targets(requests, expected) -> None:
    assert violations(make_ledger(requests)) == expected


@pytest.mark.parametrize(('changes', 'outcome', 'expected'), CASES)
def test_outcome_and_end_of_the_run(changes, outcome, expected) -> None:
    ledger = make_ledger(outcome=outcome, **changes)

    assert violations(ledger) == expected


@pytest.mark.parametrize(
    ('kind', 'expected'),
    [
        (RequestKind.RESUMABLE, 1),
        (RequestKind.UNSAFE, 0),
        (RequestKind.STREAM, 0),
    ],
)
def test_kinds_that_may_run_again(kind, expected) -> None:
    assert violations(make_ledger(kind=kind)) == expected


@pytest.mark.parametrize(
    ('what', 'subject', 'expected'),
    [
        (SILENCE, 'address', 1),
        ('target full', 'address', 1),
        ('target crashed', 'address', 0),
        ('target crashed', 'other', 1),
        ('killed', SENT.host, 0),
        ('paused', SENDER.host, 0),
    ],
)
def test_fault_of_the_target_or_of_a_host(what, subject, expected) -> None:
    ledger = make_ledger()
    ledger.disruptions.append(
        Disruption(what, frozenset((subject,)), False, 100.5, ENDED_AT)
    )

    assert violations(ledger) == expected


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [({'at': 100.5, 'abandoned': False}, 0), ({'at': 100}, 1)],
)
def test_last_run_counts(changes, expected) -> None:
    ledger = make_ledger()
    for runs in ledger.target_requests_by_id.values():
        runs.append(dataclasses.replace(runs[0], **changes))

    assert violations(ledger) == expected
