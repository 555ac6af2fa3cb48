"""Requests that planned stops of hosts cut."""

import dataclasses

import pytest
from geranium_soak import Bounds, Ledger
from geranium_soak.checks.planned_stops import (
    Fate,
    judge_cuts,
    planned_stops_cut_nothing,
)
from geranium_soak.observations import ConnectionCut, Disruption, Response

from .test_checks import SENT, TARGET_REQUEST, record

BOUNDS = Bounds(grace_s=6)  # its last sixth begins 5 s after SIGTERM
STOPPED_AT = 100
SENT_S = 3.5
CUT_S = 5.5
EXPIRES_S = 9
STOP = Disruption('stopped', frozenset((SENT.host,)), True, STOPPED_AT, 107)
KILL = dataclasses.replace(STOP, planned=False)


def make_ledger(
    sent_s=SENT_S,
    whole_s=SENT_S,
    cut_s=CUT_S,
    expires_s=EXPIRES_S,
    ran_s=None,
    stops=(STOP,),
):
    """Return a ledger of a request that is cut.

    The times are relative to SIGTERM, ``ran_s`` the start and the end of its
    run.
    """
    ledger = Ledger()
    sent = dataclasses.replace(
        SENT, at=STOPPED_AT + sent_s, expires_at=STOPPED_AT + expires_s
    )
    requests = []
    if ran_s is not None:
        began_at, ended_at = (STOPPED_AT + each for each in ran_s)
        requests.append(
            dataclasses.replace(
                TARGET_REQUEST, at=began_at, ran_at=began_at, ended_at=ended_at
            )
        )
    record(ledger, sent, requests, ConnectionCut('cut', STOPPED_AT + cut_s))
    if whole_s is not None:
        ledger.whole_at_by_id[sent.identity] = STOPPED_AT + whole_s
    ledger.disruptions.extend(stops)
    return ledger


def fate(ledger) -> Fate:
    cuts = list(judge_cuts(ledger, BOUNDS))
    assert len(cuts) == 1
    return cuts[0].fate


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({'ran_s': (3.6, 5.5)}, Fate.CUT),
        ({}, Fate.CUT),
        ({'cut_s': 3.65}, Fate.CROSSED),
        ({'cut_s': 3.75}, Fate.CUT),
        ({'cut_s': 3.65, 'ran_s': (3.6, 3.65)}, Fate.CUT),
        ({'whole_s': 3.9, 'cut_s': 4}, Fate.CROSSED),
        ({'whole_s': None}, Fate.CROSSED),
    ],
)
def test_request_that_was_read_whole(changes, expected) -> None:
    assert fate(make_ledger(**changes)) is expected


@pytest.mark.parametrize(
    ('sent_s', 'whole_s', 'ended_s', 'expected'),
    [
        (3, 3, 5.1, Fate.AT_WORK),
        (-2, -2, 5.1, Fate.AT_WORK),
        (3, 3.1, 5.1, Fate.CUT),
        (3, 3, 4.9, Fate.CUT),
    ],
)
def test_target_at_work_near_the_end(
    sent_s, whole_s, ended_s, expected
) -> None:
    ledger = make_ledger(sent_s, whole_s, ran_s=(sent_s, ended_s))

    assert fate(ledger) is expected


def test_last_run_counts() -> None:
    ledger = make_ledger(3, 3, ran_s=(3, 5.1))
    runs = ledger.target_requests_by_id['1']
    again_at = STOPPED_AT + 3.2
    runs.append(dataclasses.replace(runs[0], at=again_at, ended_at=again_at))

    assert fate(ledger) is Fate.CUT


@pytest.mark.parametrize(
    ('expires_s', 'expected'), [(5.5, Fate.EXPIRED), (5.51, Fate.CUT)]
)
def test_deadline(expires_s, expected) -> None:
    assert fate(make_ledger(expires_s=expires_s)) is expected


@pytest.mark.parametrize(
    ('stops', 'expected'),
    [
        ((), Fate.NO_STOP),
        ((STOP, KILL), Fate.DISRUPTED),
        (
            (dataclasses.replace(STOP, subjects=frozenset(('other',))),),
            Fate.NO_STOP,
        ),
        ((dataclasses.replace(STOP, began_at=105.6),), Fate.NO_STOP),
        ((dataclasses.replace(STOP, began_at=96.6),), Fate.CUT),
        ((dataclasses.replace(STOP, began_at=96.4),), Fate.NO_STOP),
    ],
)
def test_stop_of_the_host(stops, expected) -> None:
    assert fate(make_ledger(stops=stops)) is expected


def test_violation_names_the_times() -> None:
    ledger = make_ledger(ran_s=(3.6, 5.5))

    violation = next(planned_stops_cut_nothing(ledger, BOUNDS))

    assert violation.promise == 'planned stops'
    assert 'sent 3.500 s' in violation.detail
    assert 'run at i-1 began 3.600 s; ended 5.500 s' in violation.detail
    assert 'cut 5.500 s' in violation.detail


@pytest.mark.parametrize(('requests', 'expected'), [(3, 0), (4, 4)])
def test_requests_cut_while_no_host_stops(requests, expected) -> None:
    ledger = make_ledger(ran_s=(3.6, 5.5), stops=())
    sent = ledger.sent_by_id['1']
    for number in range(2, requests + 1):
        other = dataclasses.replace(sent, identity=str(number))
        outcome = ledger.outcome_by_id[sent.identity]
        record(ledger, other, [TARGET_REQUEST], outcome)
        ledger.whole_at_by_id[other.identity] = other.at

    assert len(list(planned_stops_cut_nothing(ledger, BOUNDS))) == expected


def test_complete_response_is_no_cut() -> None:
    ledger = make_ledger()
    ledger.outcome_by_id['1'] = Response(503, None, b'', 105)

    assert not list(judge_cuts(ledger, BOUNDS))
