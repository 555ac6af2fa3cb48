"""Targets that refuse requests are left out for a moment."""

import random

import pytest
from geranium_policy.refusals import RefusalBackoff, RefusalSettings

SETTINGS = RefusalSettings()
SPAN_S = 60
FULL_SHARE = 0.1  # of its requests that a full target refuses
STEP_S = 0.02  # between requests of one host


def make_backoff() -> RefusalBackoff:
    return RefusalBackoff(SETTINGS, random.Random(1))


def test_refusing_target_is_left_out_for_a_moment() -> None:
    backoff = make_backoff()
    backoff.record_refused('t', 0)

    assert backoff.refusing(0.06) == {'t'}
    assert not backoff.refusing(0.1)


def test_backoff_doubles_up_to_its_bound() -> None:
    backoff = make_backoff()
    for number in range(20):
        backoff.record_refused('t', 10 * number)

    assert backoff.refusing(193.9) == {'t'}
    assert not backoff.refusing(196.1)


def test_requests_refused_at_once_are_one_reason_to_back_off() -> None:
    """Requests in flight together say no more than one of them."""
    backoff = make_backoff()
    for number in range(7):
        backoff.record_refused('t', number / 1000)

    assert not backoff.refusing(1)


def test_target_that_accepts_again_is_used_as_before() -> None:
    backoff = make_backoff()
    for number in range(3):
        backoff.record_refused('t', number)
    for _ in range(3):
        backoff.record_accepted('t')
    backoff.record_refused('t', 10)

    assert not backoff.refusing(10.1)


def test_removed_target_is_forgotten() -> None:
    backoff = make_backoff()
    backoff.record_refused('t', 0)
    backoff.remove('t')

    assert not backoff.refusing(0)


@pytest.mark.parametrize(
    ('refused_share', 'max_refused_per_s'), [(0.6, 3), (0.8, 1)]
)
def test_target_in_trouble_refuses_few_requests_of_a_host(
    refused_share: float, max_refused_per_s: float
) -> None:
    """It refuses most of what it gets, for a minute."""
    source = random.Random(2)
    backoff = make_backoff()
    refused = 0
    for step in range(int(SPAN_S / STEP_S)):
        now = step * STEP_S
        if backoff.refusing(now):
            continue
        if source.random() < refused_share:
            backoff.record_refused('t', now)
            refused += 1
        else:
            backoff.record_accepted('t')

    assert refused < max_refused_per_s * SPAN_S


def test_full_target_gets_most_of_what_it_accepts() -> None:
    """A sound target refuses a tenth of its requests under load."""
    source = random.Random(3)
    backoff = make_backoff()
    steps = int(SPAN_S / STEP_S)
    accepted = 0
    for step in range(steps):
        now = step * STEP_S
        if backoff.refusing(now):
            continue
        if source.random() < FULL_SHARE:
            backoff.record_refused('t', now)
        else:
            backoff.record_accepted('t')
            accepted += 1

    assert 2 * accepted > steps
