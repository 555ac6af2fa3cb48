"""Shrinkage keeps the sum of stale loads and reduces their error."""

import random

import pytest
from geranium_policy.stale_loads import (
    StaleLoadSettings,
    report_weight,
    shrink_to_mean,
)

SETTINGS = StaleLoadSettings(load_lifetime_s=0.3)


def test_fresh_reports_are_not_changed() -> None:
    reported = {'a': 100, 'b': 0}

    assert shrink_to_mean(reported, report_weight(SETTINGS, 0)) == reported


def test_sum_of_loads_is_kept() -> None:
    reported = {'a': 900, 'b': 0, 'c': 300}

    shrunk = shrink_to_mean(reported, report_weight(SETTINGS, 0.5))

    assert sum(shrunk.values()) == pytest.approx(1200)
    assert sorted(shrunk, key=shrunk.__getitem__) == ['b', 'c', 'a']
    assert shrunk['b'] > 0
    assert shrunk['a'] < 900


def test_no_engines() -> None:
    assert shrink_to_mean({}, 0.5) == {}


def test_shrinkage_reduces_the_error_of_stale_reports() -> None:
    """Thirty engines with 0.3 s queues that are reported after 0.3 s."""
    source = random.Random(3)
    names = [f'e{number}' for number in range(30)]
    error_reported = 0
    error_shrunk = 0
    for _ in range(500):
        reported = {name: source.expovariate(1 / 5000) for name in names}
        present = {
            name: source.choice((load, source.expovariate(1 / 5000)))
            for name, load in reported.items()
        }
        shrunk = shrink_to_mean(reported, report_weight(SETTINGS, 0.3))
        for name in names:
            error_reported += (reported[name] - present[name]) ** 2
            error_shrunk += (shrunk[name] - present[name]) ** 2

    assert error_shrunk < 0.8 * error_reported
