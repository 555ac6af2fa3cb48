"""Failing targets are ejected up to a maximum share and probed again."""

import random

import pytest
from geranium_policy.health import (
    HealthSettings,
    HealthTracker,
    Responded,
    ResponseTimeout,
    Unreachable,
)
from hypothesis import given, settings
from hypothesis import strategies as st

NAMES = tuple(f't-{number}' for number in range(7))
GOOD = Responded(duration_s=0.2, expected_s=0.2)
SLOW = Responded(duration_s=3, expected_s=0.2)
EVENTS = st.tuples(
    st.sampled_from(NAMES),
    st.sampled_from([GOOD, SLOW, ResponseTimeout(), Unreachable()]),
    st.integers(1, 4),
    st.floats(0, 3),
)

SHARES = st.sampled_from([0.2, 0.34, 0.5])


def tracker_of(**changes):
    return HealthTracker(HealthSettings(**changes), random.Random(1))


def fail(tracker, name, now, times=3):
    for _ in range(times):
        tracker.observe(name, Unreachable(), now)


@given(st.lists(EVENTS, max_size=120), SHARES)
@settings(derandomize=True, deadline=None)
def test_no_more_than_the_maximum_share_is_ejected(events, share):
    tracker = tracker_of(max_ejected_share=share)
    now = 0
    for name, observation, times, passed_s in events:
        now += passed_s
        for _ in range(times):
            tracker.observe(name, observation, now)
        availability = tracker.availability(NAMES, now)
        left_out = len(NAMES) - len(availability.usable)
        assert left_out <= share * len(NAMES)
        assert not set(availability.usable) & set(availability.probes)


def test_failing_targets_are_ejected_up_to_the_maximum_share():
    tracker = tracker_of(max_ejected_share=0.5)
    for name in NAMES[:6]:
        fail(tracker, name, now=0)
    assert len(tracker.availability(NAMES, 0).usable) == 4


@pytest.mark.parametrize(
    ('observation', 'times'),
    [(SLOW, 6), (ResponseTimeout(), 2), (Unreachable(), 3)],
)
def test_target_is_ejected_at_its_threshold(observation, times):
    tracker = tracker_of()
    for _ in range(times):
        assert tracker.availability(NAMES, 0).usable == NAMES
        tracker.observe('t-3', observation, 0)
    assert 't-3' not in tracker.availability(NAMES, 0).usable


def test_success_between_failures_resets_the_count():
    tracker = tracker_of()
    for _ in range(5):
        fail(tracker, 't-3', now=0, times=2)
        tracker.observe('t-3', GOOD, 0)
    assert tracker.availability(NAMES, 0).usable == NAMES


def test_one_probe_at_a_time_then_recovery_or_doubled_ejection():
    tracker = tracker_of(jitter_share=0)
    fail(tracker, 't-3', now=0)
    assert tracker.availability(NAMES, 1).probes == ()
    assert tracker.availability(NAMES, 2).probes == ('t-3',)
    tracker.start_probe('t-3', 2)
    assert tracker.availability(NAMES, 2.5).probes == ()
    tracker.observe('t-3', ResponseTimeout(), 3)
    assert tracker.availability(NAMES, 6.9).probes == ()
    assert tracker.availability(NAMES, 7).probes == ('t-3',)
    tracker.start_probe('t-3', 7)
    tracker.observe('t-3', GOOD, 7.1)
    assert tracker.availability(NAMES, 7.1).usable == NAMES


def test_probe_without_result_is_repeated():
    tracker = tracker_of(jitter_share=0, probe_timeout_s=5)
    fail(tracker, 't-3', now=0)
    tracker.start_probe('t-3', 2)
    assert tracker.availability(NAMES, 7).probes == ('t-3',)


def test_failures_during_an_ejection_do_not_extend_it():
    tracker = tracker_of(jitter_share=0)
    fail(tracker, 't-3', now=0, times=40)
    assert tracker.availability(NAMES, 2).probes == ('t-3',)


def test_all_are_used_when_all_fail():
    tracker = tracker_of()
    for name in NAMES:
        fail(tracker, name, now=0)
    assert tracker.availability(NAMES, 0).usable == NAMES
