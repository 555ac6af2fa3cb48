"""Retries are distinguished from first requests by their time left."""

import pytest
from geranium_policy.caller_waits import CallerWaitEstimator, CallerWaitSettings

ROUTE = 'draft'
LONGEST_S = 5


@pytest.fixture
def estimator() -> CallerWaitEstimator:
    return CallerWaitEstimator(CallerWaitSettings())


def observe(
    estimator: CallerWaitEstimator, left_s: float, times: int = 1
) -> None:
    for _ in range(times):
        estimator.observe(ROUTE, left_s, LONGEST_S)


def test_maximum_timeout_is_assumed_at_first(
    estimator,
) -> None:
    assert estimator.observe(ROUTE, 3, LONGEST_S) == 2


def test_outage_with_callers_that_come_back(estimator) -> None:
    """After an outage most requests are retries with different times left."""
    observe(estimator, 4, times=10)
    for number in range(20):
        observe(estimator, 3.9 - number / 10)

    assert estimator.observe(ROUTE, 3, LONGEST_S) == 1
    assert estimator.observe(ROUTE, 4, LONGEST_S) == 0


def test_usual_timeout_below_the_maximum(estimator) -> None:
    observe(estimator, 1.5, times=8)

    assert estimator.observe(ROUTE, 1.5, LONGEST_S) == 0


def test_times_left_are_compared_in_milliseconds(estimator) -> None:
    for number in range(32):
        observe(estimator, (number / 7 + 1.5) - number / 7)

    assert estimator.observe(ROUTE, 0.5, LONGEST_S) == 1


def test_single_longer_timeout_is_ignored(estimator) -> None:
    observe(estimator, 1.5, times=20)
    observe(estimator, 4)

    assert estimator.observe(ROUTE, 1.5, LONGEST_S) == 0


def test_restart_after_an_outage(estimator) -> None:
    """A restarted process receives retries first."""
    for number in range(20):
        observe(estimator, 3 - number / 10)

    assert estimator.observe(ROUTE, 1, LONGEST_S) == 4


def test_no_wait_is_estimated_where_all_timeouts_differ(estimator) -> None:
    for number in range(40):
        observe(estimator, 1 + number / 100)

    assert estimator.observe(ROUTE, 1, LONGEST_S) == 0


def test_changed_usual_timeout_is_detected(estimator) -> None:
    observe(estimator, 1.5, times=40)
    observe(estimator, 3, times=8)

    assert estimator.observe(ROUTE, 2, LONGEST_S) == 1
