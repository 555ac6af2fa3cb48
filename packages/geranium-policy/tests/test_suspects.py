"""Requests that crash their targets are rejected after a few crashes."""

import pytest
from geranium_policy.suspects import (
    SuspectRegister,
    SuspectSettings,
    Verdict,
    isolation_target,
    request_fingerprint,
)
from hypothesis import given, settings
from hypothesis import strategies as st

BAD, INNOCENT = 1, 2
BOUNDS = SuspectSettings(max_crashes=2, retention_s=100)
CRASHES = st.tuples(
    st.sampled_from([BAD, INNOCENT]),
    st.sampled_from(['crash-1', 'crash-2', 'crash-3']),
    st.booleans(),
)


@pytest.fixture
def register():
    return SuspectRegister(BOUNDS)


def test_fingerprint_distinguishes_teams_and_bodies():
    prints = {
        request_fingerprint(team, body)
        for team in ('registry', 'printers')
        for body in (b'one', b'two')
    }
    assert len(prints) == 4
    assert request_fingerprint('registry', b'one') in prints


def test_request_is_rejected_after_its_crashes_and_clears_with_time(register):
    assert register.verdict(BAD, now=0) is Verdict.RUN
    register.record_crash([BAD, INNOCENT], 'crash-1', now=0)
    assert register.verdict(BAD, now=1) is Verdict.RUN_ISOLATED
    register.record_crash([BAD], 'crash-2', now=2)
    assert register.verdict(BAD, now=3) is Verdict.REJECT
    assert register.verdict(BAD, now=101) is Verdict.RUN_ISOLATED
    assert register.verdict(BAD, now=103) is Verdict.RUN


def test_one_crash_seen_by_several_daemons_counts_once(register):
    other = SuspectRegister(BOUNDS)
    register.record_crash([BAD], 'crash-1', now=0)
    register.apply(other.record_crash([BAD], 'crash-1', now=900), now=1)
    assert register.verdict(BAD, now=1) is Verdict.RUN_ISOLATED


def test_request_completed_in_isolation_is_cleared_on_all_daemons(register):
    other = SuspectRegister(BOUNDS)
    notices = register.record_crash([INNOCENT], 'crash-1', now=0)
    cleared = register.clear(INNOCENT, now=1)
    other.apply(cleared, now=50)
    other.apply(notices, now=51)
    assert register.verdict(INNOCENT, now=1) is Verdict.RUN
    assert other.verdict(INNOCENT, now=51) is Verdict.RUN


@given(st.lists(CRASHES, max_size=12), st.randoms(use_true_random=False))
@settings(derandomize=True, deadline=None)
def test_notices_in_any_order_and_twice_lead_to_the_same(events, shuffler):
    register, other = SuspectRegister(BOUNDS), SuspectRegister(BOUNDS)
    notices = []
    for fingerprint, crash_id, cleared in events:
        if cleared:
            notices += register.clear(fingerprint, now=1)
        else:
            notices += register.record_crash([fingerprint], crash_id, now=1)
    notices += notices[:5]
    shuffler.shuffle(notices)
    other.apply(notices, now=1)
    for fingerprint in (BAD, INNOCENT):
        verdict = register.verdict(fingerprint, now=2)
        assert other.verdict(fingerprint, now=2) is verdict


def test_register_is_bounded_and_sent_to_new_peers_in_full():
    register = SuspectRegister(SuspectSettings(max_crashes_kept=10))
    register.record_crash(range(50), 'crash-1', now=0)
    assert len(register.notices(now=1)) == 10
    other = SuspectRegister(BOUNDS)
    other.apply(register.notices(now=1), now=1)
    assert other.verdict(49, now=1) is Verdict.RUN_ISOLATED
    assert register.verdict(0, now=1) is Verdict.RUN


def test_daemons_agree_on_the_isolation_target():
    names = ['e-1', 'e-2', 'e-3']
    chosen = isolation_target('llm', names)
    assert chosen == isolation_target('llm', sorted(names, reverse=True))
    assert isolation_target('llm', []) is None
