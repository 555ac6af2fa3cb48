"""Retries are safe, before the deadline and within their budget."""

import random

import pytest
from geranium_model import NotRun, OutcomeUnknown, RanAndFailed
from geranium_policy.attempts import (
    FailedAttempt,
    Lost,
    NotSent,
    Refused,
    ServerError,
)
from geranium_policy.retries import (
    GiveUp,
    RetryAt,
    RetryBudget,
    RetryPolicy,
    RetrySettings,
)
from hypothesis import given, settings
from hypothesis import strategies as st

PAUSES = st.lists(st.floats(0, 0.5), max_size=300)


def policy_of(**changes):
    bounds = RetrySettings(**changes)
    budget = RetryBudget(bounds, now=0)
    return RetryPolicy(bounds, budget, random.Random(1))


def attempt_of(failure, *, idempotent=True, attempts=1, deadline=100):
    return FailedAttempt(failure, idempotent, attempts, deadline)


@pytest.mark.parametrize(
    ('failure', 'idempotent', 'decision'),
    [
        (NotSent(), False, RetryAt),
        (Refused(), False, RetryAt),
        (Lost(), True, RetryAt),
        (Lost(), False, OutcomeUnknown),
        (ServerError(), True, RanAndFailed),
        (ServerError(), False, RanAndFailed),
    ],
)
def test_only_requests_that_cannot_run_twice_are_retried(
    failure,
    idempotent,
    decision,
):
    attempt = attempt_of(failure, idempotent=idempotent)
    decided = policy_of().decide(attempt, now=0)
    if isinstance(decided, GiveUp):
        decided = decided.outcome
    assert isinstance(decided, decision)


@given(PAUSES, st.floats(0.01, 0.5))
@settings(derandomize=True, deadline=None)
def test_budget_bounds_retries_to_its_ratio(pauses, ratio):
    bounds = RetrySettings(budget_ratio=ratio, max_budget=5)
    budget = RetryBudget(bounds, now=0)
    now = 0
    taken = 0
    for pause_s in pauses:
        now += pause_s
        budget.record_request(now)
        taken += budget.take(now)
        taken += budget.take(now)
    granted = 5 + ratio * len(pauses) + bounds.budget_floor_per_s * now
    assert taken <= granted + 1e-6


def test_empty_budget_ends_a_request():
    policy = policy_of(max_budget=2, budget_floor_per_s=0)
    attempt = attempt_of(NotSent())
    decided = [type(policy.decide(attempt, 0)) for _ in range(3)]
    assert decided == [RetryAt, RetryAt, GiveUp]


def test_no_retry_after_the_deadline():
    policy = policy_of()
    decided = policy.decide(attempt_of(Refused(5), deadline=4), now=0)
    assert isinstance(decided.outcome, NotRun)
    assert decided.outcome.retry_after_s == 5
    decided = policy.decide(attempt_of(Refused(5), deadline=9), now=0)
    assert decided == RetryAt(5)


def test_attempts_are_bounded():
    policy = policy_of(max_attempts=3)
    assert isinstance(
        policy.decide(attempt_of(Lost(), attempts=3), now=0).outcome,
        OutcomeUnknown,
    )


def test_backoff_is_drawn_below_a_doubling_bound():
    policy = policy_of(base_backoff_s=0.1, max_backoff_s=0.3, max_budget=999)
    for attempts, bound_s in ((1, 0.1), (2, 0.2), (3, 0.3)):
        attempt = attempt_of(NotSent(), attempts=attempts)
        instants = [policy.decide(attempt, 0).instant for _ in range(200)]
        assert max(instants) <= bound_s
        assert max(instants) > bound_s / 2
        assert min(instants) < bound_s / 2


def test_retries_accumulate_up_to_the_maximum():
    budget = RetryBudget(RetrySettings(max_budget=3), now=0)
    for now in range(1, 500):
        budget.record_request(now)
    assert sum(budget.take(500) for _ in range(50)) == 3
