"""Callers that come again are told from those that come for the first time."""

import pytest
from geranium_policy.caller_waits import CallerWaitEstimator, CallerWaitSettings

ROUTE = 'draft'
LONGEST_S = 5


@pytest.fixture
def waits() -> CallerWaitEstimator:
    return CallerWaitEstimator(CallerWaitSettings())


def see(waits: CallerWaitEstimator, left_s: float, times: int = 1) -> None:
    for _ in range(times):
        waits.observe(ROUTE, left_s, LONGEST_S)


def test_callers_are_taken_to_give_what_the_route_allows_at_first(
    waits,
) -> None:
    assert waits.observe(ROUTE, 3, LONGEST_S) == 2


def test_outage_with_callers_that_come_back(waits) -> None:
    """After an outage most come again, each with some other time left."""
    see(waits, 4, times=10)
    for number in range(20):
        see(waits, 3.9 - number / 10)

    assert waits.observe(ROUTE, 3, LONGEST_S) == 1
    assert waits.observe(ROUTE, 4, LONGEST_S) == 0


def test_callers_of_another_patience_than_the_route_allows(waits) -> None:
    see(waits, 1.5, times=8)

    assert waits.observe(ROUTE, 1.5, LONGEST_S) == 0


def test_times_left_are_compared_in_milliseconds(waits) -> None:
    for number in range(32):
        see(waits, (number / 7 + 1.5) - number / 7)

    assert waits.observe(ROUTE, 0.5, LONGEST_S) == 1


def test_single_caller_that_gives_more_time_says_nothing(waits) -> None:
    see(waits, 1.5, times=20)
    see(waits, 4)

    assert waits.observe(ROUTE, 1.5, LONGEST_S) == 0


def test_restart_after_an_outage(waits) -> None:
    """A new process hears at first from callers that come again."""
    for number in range(20):
        see(waits, 3 - number / 10)

    assert waits.observe(ROUTE, 1, LONGEST_S) == 4


def test_nothing_is_said_where_all_callers_differ(waits) -> None:
    for number in range(40):
        see(waits, 1 + number / 100)

    assert waits.observe(ROUTE, 1, LONGEST_S) == 0


def test_changed_patience_is_learned(waits) -> None:
    see(waits, 1.5, times=40)
    see(waits, 3, times=8)

    assert waits.observe(ROUTE, 2, LONGEST_S) == 1
