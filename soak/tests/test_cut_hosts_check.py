"""The check of cut hosts compares them with the others at the same time."""

import dataclasses

import pytest
from geranium_soak import Bounds, Ledger
from geranium_soak.checks.cut_hosts import cut_hosts_serve
from geranium_soak.observations import Disruption, Response
from geranium_soak.target_links import CUT_FROM_TARGETS

from .test_checks import SENT, record

BOUNDS = Bounds()
REQUESTS = 40
CASES = ((0, 1), (20, 1), (30, 0))
CUT_AT = 100
CUT = Disruption(
    CUT_FROM_TARGETS, frozenset(('cut',)), False, CUT_AT, CUT_AT + 30
)
SENT_AT = CUT_AT + BOUNDS.reconnect_s + 1


def make_ledger(served_at_cut_host: int, sent_at: float = SENT_AT) -> Ledger:
    """Return a ledger of a cut host, and of one that serves all requests."""
    ledger = Ledger()
    ledger.disruptions.append(CUT)
    served_by_host = {'cut': served_at_cut_host, 'other': REQUESTS}
    for host, served in served_by_host.items():
        for number in range(REQUESTS):
            sent = dataclasses.replace(
                SENT, identity=f'{host}-{number}', host=host, at=sent_at
            )
            status = 200 if number < served else 503
            record(ledger, sent, [], Response(status, None, b'', sent_at + 1))
    return ledger


def violations(ledger: Ledger) -> int:
    return len(list(cut_hosts_serve(ledger, BOUNDS)))


@pytest.mark.parametrize(('served', 'expected'), CASES)
def test_cut_host_that_serves_far_less_than_the_others(
    served: int, expected: int
) -> None:
    assert violations(make_ledger(served)) == expected


def test_host_may_take_some_time_to_notice_that_it_is_cut() -> None:
    assert not violations(make_ledger(0, CUT_AT + BOUNDS.reconnect_s - 1))


def test_host_that_is_paused_as_well_is_excused() -> None:
    ledger = make_ledger(0)
    paused = Disruption(
        'paused', frozenset(('cut',)), False, SENT_AT - 1, SENT_AT + 1
    )
    ledger.disruptions.append(paused)

    assert not violations(ledger)


def test_cut_host_is_excused_while_no_other_host_is_without_a_fault() -> None:
    """Seed 3000: of four hosts two were cut, one stopped, one had no store."""
    ledger = make_ledger(0)
    later = make_ledger(REQUESTS, SENT_AT + 10)
    for identity, sent in later.sent_by_id.items():
        renamed = dataclasses.replace(sent, identity=f'later-{identity}')
        if sent.host == 'other':
            record(ledger, renamed, [], later.outcome_by_id[identity])
    paused = Disruption(
        'paused', frozenset(('other',)), False, SENT_AT - 1, SENT_AT + 1
    )
    ledger.disruptions.append(paused)

    assert not violations(ledger)
