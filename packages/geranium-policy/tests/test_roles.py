"""Roles follow lasting demand, a few drained engines at a time."""

import dataclasses
import itertools

import pytest
from geranium_model import Drain, Resume, Role, SetRole
from geranium_policy.forecasts import (
    DemandForecast,
    ForecastSettings,
    RoleDemand,
)
from geranium_policy.role_policies import (
    FixedSplit,
    PlannedSplit,
    ReactiveThreshold,
)
from geranium_policy.roles import EngineRole, RolePlanner, RoleSettings
from geranium_policy.splits import Split, likely_splits
from hypothesis import given, settings
from hypothesis import strategies as st

PROMPTS_SWING = RoleDemand(prefill=5, decode=2)
CALM = RoleDemand(prefill=1.5, decode=2)
LOAD = st.floats(0, 9)
WORK = st.builds(RoleDemand, LOAD, LOAD)
COUNT = st.integers(1, 4)
SPLITS = st.builds(Split, COUNT, COUNT, COUNT)
SHARES = st.floats(0.1, 0.5)


def engines_of(prefill, decode, mixed=0):
    roles = itertools.chain(
        itertools.repeat(Role.PREFILL, prefill),
        itertools.repeat(Role.DECODE, decode),
        itertools.repeat(Role.MIXED, mixed),
    )
    return [
        EngineRole(f'e-{number}', role) for number, role in enumerate(roles)
    ]


def planner_of(policy=None, **changes):
    return RolePlanner(RoleSettings(policy or PlannedSplit(), **changes))


def started(planner, engines, demand, now):
    """Plan twice, so that a change has been worthwhile for long enough."""
    planner.plan(engines, demand, now)
    return planner.plan(engines, demand, now + 2)


def all_splits(engines):
    """Yield every split in which each phase has an engine."""
    for mixed in range(engines + 1):
        for prefill in range(engines - mixed + 1):
            split = Split(prefill, engines - mixed - prefill, mixed)
            if mixed or (split.prefill and split.decode):
                yield split


@given(SPLITS, WORK, st.floats(0.3, 1))
@settings(derandomize=True, deadline=None)
def test_likely_splits_hold_a_least_utilised_one(split, demand, efficiency):
    least = min(
        other.utilisation(demand, efficiency)
        for other in all_splits(split.engines)
    )
    likely = min(
        other.utilisation(demand, efficiency)
        for other in likely_splits(split, demand, efficiency)
    )
    assert likely == pytest.approx(least)


def test_lasting_swing_changes_an_engine_and_a_short_one_does_not():
    planner = planner_of()
    engines = engines_of(3, 6)
    assert planner.plan(engines, PROMPTS_SWING, now=0) == ()
    assert planner.plan(engines, CALM, now=1) == ()
    assert planner.plan(engines, PROMPTS_SWING, now=3) == ()
    steps = planner.plan(engines, PROMPTS_SWING, now=5)
    assert [step.command for step in steps] == [Drain()]
    assert steps[0].wanted is Role.PREFILL


def test_low_utilisation_or_small_gain_changes_nothing():
    engines = engines_of(3, 6)
    light = RoleDemand(prefill=1.5, decode=0.5)
    assert started(planner_of(), engines, light, now=0) == ()
    close = RoleDemand(prefill=2.1, decode=4)
    assert started(planner_of(), engines, close, now=0) == ()


def test_costly_change_is_not_made_for_a_short_horizon():
    engines = engines_of(3, 6)
    short = PlannedSplit(horizon_s=1)
    assert started(planner_of(short), engines, PROMPTS_SWING, now=0) == ()


@given(SPLITS, st.lists(WORK, min_size=1, max_size=30), SHARES)
@settings(derandomize=True, deadline=None)
def test_no_more_than_the_bounded_share_changes_at_once(split, works, share):
    """Engines that never finish draining are the worst case."""
    policies = (PlannedSplit(hold_s=0, dwell_s=0), ReactiveThreshold())
    for policy in policies:
        planner = planner_of(policy, max_changing_share=share)
        engines = engines_of(split.prefill, split.decode, split.mixed)
        by_name = {engine.engine: engine for engine in engines}
        for now, demand in enumerate(works):
            views = list(by_name.values())
            for step in planner.plan(views, demand, now):
                by_name[step.engine] = dataclasses.replace(
                    by_name[step.engine],
                    wanted=step.wanted,
                    draining=True,
                    sequences=1,
                )
            out = sum(engine.draining for engine in by_name.values())
            assert out <= max(int(share * len(engines)), 1)


def test_change_goes_drain_set_role_resume_and_waits_for_the_last_request():
    planner = planner_of(FixedSplit())
    engine = EngineRole('e-1', Role.DECODE, wanted=Role.PREFILL)
    stages = [
        engine,
        dataclasses.replace(engine, draining=True, sequences=1),
        dataclasses.replace(engine, draining=True),
        dataclasses.replace(engine, draining=True, role=Role.PREFILL),
    ]
    commands = [
        [step.command for step in planner.plan([stage], CALM, now=0)]
        for stage in stages
    ]
    assert commands == [
        [Drain()],
        [],
        [SetRole(Role.PREFILL)],
        [Resume()],
    ]


def test_engine_keeps_a_fresh_role_for_a_while():
    engines = [
        dataclasses.replace(engine, changed_at=0) for engine in engines_of(3, 6)
    ]
    planner = planner_of()
    assert started(planner, engines, PROMPTS_SWING, now=10) == ()
    assert started(planner, engines, PROMPTS_SWING, now=20)


def test_idle_engine_is_chosen_before_a_busy_one():
    engines = [
        dataclasses.replace(engine, sequences=9 - number)
        for number, engine in enumerate(engines_of(3, 6))
    ]
    steps = started(planner_of(), engines, PROMPTS_SWING, now=0)
    assert [step.engine for step in steps] == ['e-8']


def test_reactive_baseline_changes_at_once():
    planner = planner_of(ReactiveThreshold())
    assert planner.plan(engines_of(3, 6), PROMPTS_SWING, now=0)


def record(forecast, profile, uncached_tokens, seconds):
    for second in seconds:
        forecast.record(profile, uncached_tokens, second)


def test_forecast_follows_admitted_work_and_its_trend(make_view, profile):
    speed = make_view('e-1').settings.speed
    forecast = DemandForecast(ForecastSettings(), speed, now=0)
    record(forecast, profile, 40_000, range(1, 120))
    steady = forecast.demand(120)
    assert steady.prefill == pytest.approx(2, rel=0.15)
    record(forecast, profile, 80_000, range(120, 125))
    rising = forecast.demand(125)
    assert rising.prefill > steady.prefill * 1.6
    assert rising.decode < steady.decode * 1.2


@pytest.mark.parametrize(
    ('prompt_tokens', 'tokens_per_s'),
    [(0, 110 / 0.043), (6200, 10 / 0.013)],
)
def test_decode_work_is_bounded_by_steps_or_by_memory(
    make_view,
    profile,
    prompt_tokens,
    tokens_per_s,
):
    """Ten sequences of 6,400 tokens fill 2,000 pieces of 32."""
    speed = make_view('e-1').settings.speed
    forecast = DemandForecast(ForecastSettings(), speed, now=0)
    long = dataclasses.replace(
        profile,
        prompt_tokens=prompt_tokens,
        expected_tokens=200,
    )
    record(forecast, long, 0, range(1, 300))
    decode = forecast.demand(300).decode
    assert decode == pytest.approx(200 / tokens_per_s, rel=0.15)
