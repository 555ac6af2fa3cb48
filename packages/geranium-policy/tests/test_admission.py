"""Admission is fair between teams, meets deadlines and is bounded."""

import random

import pytest
from geranium_policy.admission import Fleet
from geranium_policy.admission_settings import PerHostLimits
from geranium_policy.limits import AdaptiveLimit, EngineLimit
from hypothesis import given, settings
from hypothesis import strategies as st

NOTHING = ()
TEAMS = st.sampled_from(['registry', 'printers', 'couples'])
TOKENS = st.integers(1, 4000)
ARRIVALS = st.tuples(TEAMS, TOKENS, st.integers(0, 9))
SIZES = st.lists(TOKENS, min_size=1, max_size=30)


def run_next(queue, now=0):
    """Release a request and complete it immediately."""
    entry = queue.release(now)
    profile = entry.profile
    queue.complete(profile.request_id, profile.prompt_tokens, 0)
    return entry


@given(data=st.data())
@settings(derandomize=True, deadline=None)
def test_backlogged_teams_are_served_by_weight(data, make_queue, make_entry):
    """The gap between two backlogged teams is at most a largest request."""
    queue = make_queue()
    weights = {'registry': 3, 'printers': 1}
    queue.rebalance(Fleet(1, 1, weights), now=0)
    sizes = data.draw(SIZES)
    for team in weights:
        for tokens in sizes:
            queue.offer(make_entry(team, tokens), 0)
    served = dict.fromkeys(weights, 0)
    left = dict.fromkeys(weights, len(sizes))
    while all(left.values()):
        profile = run_next(queue).profile
        left[profile.team] -= 1
        served[profile.team] += profile.prompt_tokens
        gap = served['registry'] / 3 - served['printers']
        assert -max(sizes) <= gap <= max(sizes) / 3


@given(data=st.data())
@settings(derandomize=True, deadline=None)
def test_every_queued_request_is_released_once(data, make_queue, make_entry):
    queue = make_queue()
    arrivals = data.draw(st.lists(ARRIVALS, max_size=40))
    entries = [make_entry(*arrival) for arrival in arrivals]
    for entry in entries:
        assert queue.offer(entry, 0) == NOTHING
    released = [run_next(queue) for _ in entries]
    assert sorted(map(id, released)) == sorted(map(id, entries))
    assert queue.release(0) is None


def test_idle_team_accumulates_no_credit(make_queue, make_entry):
    queue = make_queue()
    for _ in range(100):
        queue.offer(make_entry('printers'), 0)
    for _ in range(50):
        run_next(queue)
    queue.rebalance(Fleet(1), now=0)
    for _ in range(50):
        queue.offer(make_entry('couples'), 0)
    teams = [run_next(queue).profile.team for _ in range(20)]
    assert 9 <= teams.count('couples') <= 11


def test_priority_goes_first_but_ages(make_queue, make_entry):
    queue = make_queue(aging_s=1)
    late = make_entry(priority=0, now=3)
    early = make_entry(priority=5, now=0)
    first = make_entry(priority=1, now=0)
    for entry in (late, early, first):
        queue.offer(entry, 0)
    assert [run_next(queue) for _ in range(3)] == [first, late, early]
    old = make_entry(priority=9, now=0)
    queue.offer(old, 0)
    queue.offer(make_entry(priority=0, now=10), 0)
    assert run_next(queue) is old


def test_request_that_would_be_late_is_refused_with_retry_after(
    make_queue,
    make_entry,
):
    queue = make_queue()
    for second in range(10):
        queue.offer(make_entry(now=second), second)
        run_next(queue, second)
    for _ in range(20):
        queue.offer(make_entry(now=10), 10)
    waiting = queue.wait_s(make_entry(now=10), 10)
    assert 15 < waiting < 25
    assert queue.offer(make_entry(now=10, deadline=36), 10) == NOTHING
    hasty = make_entry(now=10, deadline=15)
    refusal = queue.offer(hasty, 10)[0]
    assert refusal.entry is hasty
    assert refusal.outcome.retry_after_s >= waiting - 5


def test_other_teams_flood_does_not_lengthen_the_wait(
    make_queue,
    make_entry,
):
    queue = make_queue()
    for second in range(5):
        queue.offer(make_entry('printers', now=second), second)
        run_next(queue, second)
    for _ in range(200):
        queue.offer(make_entry('printers'), 5)
    assert queue.wait_s(make_entry('couples'), 5) < 10


def test_expired_entries_are_refused(make_queue, make_entry):
    queue = make_queue()
    for deadline in (5, 50):
        queue.offer(make_entry(deadline=deadline), 0)
    refusals = queue.expire(now=5.5)
    assert [refusal.entry.first_token_deadline for refusal in refusals] == [5]
    assert len(queue) == 1


def test_window_bounds_what_runs_and_one_request_always_may(
    make_queue,
    make_entry,
):
    queue = make_queue()
    queue.rebalance(Fleet(engines=3), now=0)
    for tokens in (9000, 1000, 1000, 1000, 1000):
        queue.offer(make_entry(tokens=tokens), 0)
    assert queue.release(0).profile.prompt_tokens == 9000
    assert queue.release(0) is None


def test_full_queue_drops_from_the_largest_team(make_queue, make_entry):
    queue = make_queue(max_length=10, max_team_length=9)
    flood = [make_entry('printers') for _ in range(9)]
    for entry in flood:
        assert queue.offer(entry, 0) == NOTHING
    refusal = queue.offer(make_entry('printers'), 0)[0]
    assert refusal.entry.profile.team == 'printers'
    assert queue.offer(make_entry('couples'), 0) == NOTHING
    refusal = queue.offer(make_entry('couples'), 0)[0]
    assert refusal.entry is flood[-1]
    assert len(queue) == 10


def test_requests_of_withdrawn_keys_are_removed(make_queue, make_entry):
    queue = make_queue()
    gone = make_entry(key_id='gone')
    kept = make_entry(key_id='kept')
    queue.offer(gone, 0)
    queue.offer(kept, 0)
    withdrawn = queue.withdraw(lambda entry: entry.key_id == 'gone')
    assert withdrawn == (gone,)
    assert run_next(queue) is kept


def test_host_limit_holds_a_team_back(make_queue, make_entry):
    queue = make_queue(PerHostLimits(max_running_cost=2000))
    queue.rebalance(Fleet(engines=99), now=0)
    for _ in range(5):
        queue.offer(make_entry('printers'), 0)
    queue.offer(make_entry('couples', now=1), 1)
    teams = [queue.release(1).profile.team for _ in range(3)]
    assert teams == ['printers', 'printers', 'couples']
    assert queue.release(1) is None


def test_late_first_tokens_lead_to_no_refusal_while_nothing_waits(
    make_queue,
    make_entry,
):
    queue = make_queue()
    for _ in range(200):
        queue.record_first_token(60)
    assert queue.offer(make_entry(deadline=0.5), 0) == NOTHING


def test_adaptive_limit_settles_at_its_share_of_late_tokens():
    """The share of late tokens is proportional to the limit."""
    source = random.Random(1)
    limit = EngineLimit(AdaptiveLimit())
    late = []
    for _ in range(20_000):
        late.append(source.random() < limit.cost / 1_000_000)
        limit.observe(9 if late[-1] else 0.1, binding=True)
    late_share = sum(late) / len(late)
    assert late_share == pytest.approx(0.2, abs=0.02)


def test_adaptive_limit_grows_past_its_start_only_while_it_binds():
    limit = EngineLimit(AdaptiveLimit(start_cost=1000, min_cost=10))
    limit.observe(0.1, binding=False)
    assert limit.cost == 1000
    limit.observe(9, binding=False)
    assert limit.cost < 1000
    for _ in range(10):
        limit.observe(0.1, binding=False)
    assert limit.cost == pytest.approx(1000, rel=0.03)
    limit.observe(0.1, binding=True)
    assert limit.cost > 1000
