"""The time of a request is estimated from those of its kind."""

import itertools
import math

import pytest
from geranium_policy.completion_times import (
    CompletionEstimator,
    CompletionSettings,
    RequestKind,
)

SETTINGS = CompletionSettings()
KIND = RequestKind('draft', '/draft/1')
NOW = 1000.0


@pytest.fixture
def estimator() -> CompletionEstimator:
    return CompletionEstimator(SETTINGS)


def observe(
    estimator: CompletionEstimator,
    *durations_s: float,
    kind: RequestKind = KIND,
    ended_at: float = NOW,
) -> None:
    for took_s in durations_s:
        estimator.observe(kind, took_s, ended_at)


def test_unknown_kind_may_take_any_time(estimator) -> None:
    assert math.isinf(estimator.estimate_s(KIND, NOW))


def test_few_requests_to_other_paths_say_nothing(estimator) -> None:
    """The case of a route whose first requests were all short."""
    short = RequestKind('draft', '/draft/short')
    observe(
        estimator, *itertools.repeat(0.2, SETTINGS.min_of_route - 1), kind=short
    )

    assert math.isinf(estimator.estimate_s(KIND, NOW))


def test_requests_to_the_same_path_are_enough(estimator) -> None:
    observe(estimator, *itertools.repeat(0.2, SETTINGS.min_of_path))

    assert estimator.estimate_s(KIND, NOW) == pytest.approx(0.32)


def test_path_goes_before_its_route(estimator) -> None:
    other = RequestKind('draft', '/draft/2')
    observe(
        estimator, *itertools.repeat(4.0, SETTINGS.min_of_route), kind=other
    )
    observe(estimator, *itertools.repeat(0.2, SETTINGS.min_of_path))

    assert estimator.estimate_s(KIND, NOW) < 1


def test_samples_that_differ_allow_for_a_longer_one(estimator) -> None:
    observe(estimator, *itertools.repeat(1.0, 8))
    alike_s = estimator.estimate_s(KIND, NOW)
    observe(estimator, *itertools.repeat(0.2, 8))

    assert estimator.estimate_s(KIND, NOW) > alike_s + 0.5


def test_request_that_still_runs_counts_with_its_age(estimator) -> None:
    """Targets have just become slow: none of the slow requests has ended."""
    observe(estimator, *itertools.repeat(0.2, SETTINGS.min_of_route))

    with estimator.running(KIND, NOW - 3):
        assert estimator.estimate_s(KIND, NOW) > 3
    assert estimator.estimate_s(KIND, NOW) < 1


def test_samples_expire(estimator) -> None:
    observe(estimator, *itertools.repeat(0.2, SETTINGS.min_of_route))
    later = NOW + SETTINGS.lifetime_s + 1

    assert estimator.estimate_s(KIND, later) == math.inf


def test_paths_are_bounded() -> None:
    settings = CompletionSettings(max_paths=2)
    estimator = CompletionEstimator(settings)
    kinds = [RequestKind('draft', f'/draft/{number}') for number in range(3)]
    for kind in kinds:
        observe(
            estimator, *itertools.repeat(0.2, settings.min_of_path), kind=kind
        )

    first, *others = (estimator.estimate_s(known, NOW) for known in kinds)
    assert first == math.inf
    assert max(others) < 1


def test_larger_requests_say_nothing_of_small_ones(estimator) -> None:
    large = RequestKind('draft', '/draft/1', 400)
    small = RequestKind('draft', '/draft/1', 10)
    observe(
        estimator, *itertools.repeat(4.0, SETTINGS.min_of_route), kind=large
    )

    assert estimator.estimate_s(small, NOW) == math.inf


def test_small_requests_say_nothing_of_the_largest(estimator) -> None:
    """The lengths of generations are spread widely."""
    for size in range(1, 200):
        sized = RequestKind('draft', f'/draft/{size}', size)
        observe(estimator, 0.02 * size, kind=sized)

    middle = RequestKind('draft', '/draft/x', 60)
    largest = RequestKind('draft', '/draft/x', 400)
    estimate_s = estimator.estimate_s(middle, NOW)
    assert 2 < int(estimate_s) < 6
    assert estimator.estimate_s(largest, NOW) == math.inf
