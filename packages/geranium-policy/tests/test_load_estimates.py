"""Estimates of present loads from reports of many hosts."""

import pytest
from geranium_policy.load_estimates import (
    DrainedLoadSettings,
    KnownLoad,
    PresentLoad,
    filled_level,
    present_loads,
)
from geranium_policy.stale_loads import StaleLoadSettings

DRAINED = DrainedLoadSettings(request_s=2, prefill_share=1)
IDLE = KnownLoad(0, 0, 0, 0, slots=32, tokens_per_s=25000)
BUSY = IDLE._replace(reported_running=28, reported_tokens=20000)


def estimate(age_s: float, **load_by_name: KnownLoad) -> dict[str, PresentLoad]:
    return present_loads(DRAINED, load_by_name, age_s)


def test_engine_that_was_idle_half_a_second_ago_is_no_longer_idle() -> None:
    """All hosts would send to the one engine that reports show as idle."""
    found = estimate(0.5, busy=BUSY, idle=IDLE)

    assert found['idle'].queued_tokens == pytest.approx(10000)
    assert found['idle'].running == pytest.approx(7)
    assert found['busy'].queued_tokens == pytest.approx(10000)
    assert found['busy'].running == pytest.approx(21)


def test_fresh_reports_are_not_changed() -> None:
    found = estimate(0, busy=BUSY, idle=IDLE)

    assert found['busy'] == PresentLoad(28, 20000)
    assert found['idle'] == PresentLoad(0, 0)


def test_overloaded_engine_stays_overloaded() -> None:
    """A queue of 4 s does not end within the age of its report."""
    queued = BUSY._replace(reported_tokens=100000)

    found = estimate(0.5, queued=queued, busy=BUSY, other=IDLE)

    assert found['queued'].queued_tokens == pytest.approx(87500)
    assert found['busy'].queued_tokens < 20000


def test_slow_engine_drains_slower_and_gets_less_work() -> None:
    """With speeds of 0.6 and 1.6 a slow engine's queue lasts longer."""
    slow = BUSY._replace(tokens_per_s=15000)
    fast = BUSY._replace(tokens_per_s=40000)

    found = estimate(0.25, slow=slow, fast=fast)

    assert found['slow'].queued_tokens == pytest.approx(16250)
    assert found['fast'].queued_tokens == pytest.approx(23750)


def test_own_requests_count_in_full_whatever_the_age() -> None:
    """A burst at one host goes to several engines before any report."""
    own = IDLE._replace(own_running=5, own_tokens=9000)

    assert estimate(0.5, own=own, idle=IDLE) == {
        'own': PresentLoad(5, 9000),
        'idle': PresentLoad(0, 0),
    }


def test_default_estimate_is_the_shrinkage_of_tokens() -> None:
    """Fleets that don't ask for even loads are served as before."""
    found = present_loads(
        StaleLoadSettings(0.3), {'busy': BUSY, 'idle': IDLE}, 0.3
    )

    assert found['busy'] == PresentLoad(28, 15000)
    assert found['idle'] == PresentLoad(0, 5000)


@pytest.mark.parametrize(
    ('levels', 'capacities', 'work', 'level'),
    [
        ((0, 1, 5), (10, 10, 10), 30, 2),
        ((0, 4), (10, 10), 20, 2),
        ((3, 3), (10, 30), 0, 3),
    ],
)
def test_work_fills_the_least_loaded_first(
    levels: tuple[float, ...],
    capacities: tuple[float, ...],
    work: float,
    level: float,
) -> None:
    found = filled_level(levels, capacities, work)

    assert found == pytest.approx(level)
