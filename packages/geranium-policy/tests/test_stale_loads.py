"""Loads that others told a while ago say more in sum than one by one."""

import random

import pytest
from geranium_policy.stale_loads import (
    StaleLoadSettings,
    report_weight,
    shrink_to_mean,
)

SETTINGS = StaleLoadSettings(load_lifetime_s=0.3)


def test_fresh_news_are_taken_as_they_are() -> None:
    told = {'a': 100, 'b': 0}

    assert shrink_to_mean(told, report_weight(SETTINGS, 0)) == told


def test_sum_of_loads_is_kept() -> None:
    told = {'a': 900, 'b': 0, 'c': 300}

    drawn = shrink_to_mean(told, report_weight(SETTINGS, 0.5))

    assert sum(drawn.values()) == pytest.approx(1200)
    assert sorted(drawn, key=drawn.__getitem__) == ['b', 'c', 'a']
    assert drawn['b'] > 0
    assert drawn['a'] < 900


def test_no_engines() -> None:
    assert shrink_to_mean({}, 0.5) == {}


def test_many_hosts_whose_news_are_older_than_the_queues() -> None:
    """Queues of 0.3 s, heard of after 0.3 s, at thirty engines."""
    source = random.Random(3)
    names = [f'e{number}' for number in range(30)]
    error_told = 0
    error_drawn = 0
    for _ in range(500):
        told = {name: source.expovariate(1 / 5000) for name in names}
        present = {
            name: source.choice((load, source.expovariate(1 / 5000)))
            for name, load in told.items()
        }
        drawn = shrink_to_mean(told, report_weight(SETTINGS, 0.3))
        for name in names:
            error_told += (told[name] - present[name]) ** 2
            error_drawn += (drawn[name] - present[name]) ** 2

    assert error_drawn < 0.8 * error_told
