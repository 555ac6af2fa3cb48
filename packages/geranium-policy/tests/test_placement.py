"""Loads share the weight store, and rollouts keep the service available."""

import dataclasses

import pytest
from geranium_model import Drain, LoadAdapter, LoadModel, Resume
from geranium_policy.placement import (
    EngineHoldings,
    LoadPlanner,
    WantedHoldings,
    WeightStoreSettings,
)
from geranium_policy.rollouts import (
    EnginePhase,
    EngineVersion,
    Rollout,
    RolloutSettings,
    RolloutStatus,
    plan_rollout,
)

SMALL = LoadModel('small', '1')
LARGE = LoadModel('large', '1')
STYLE = LoadAdapter('style', '1')
SIZES = {'small': 10, 'large': 100, 'style': 1}
ROLLOUT = Rollout('wording', '1', '2')
BOUNDS = RolloutSettings(min_responses=10)


def plan_loads(holdings, wanted, max_loads=2):
    settings = WeightStoreSettings(bytes_per_s=10, max_loads=max_loads)
    return LoadPlanner(settings, SIZES).plan(holdings, wanted, now=0)


def test_loads_wait_for_the_store_and_estimate_their_end():
    holdings = [EngineHoldings(f'e-{number}', None) for number in range(4)]
    wanted = [WantedHoldings(f'e-{number}', LARGE) for number in range(4)]
    loads = plan_loads(holdings, wanted)
    assert [load.starts for load in loads] == [True, True, False, False]
    assert [load.ready_at for load in loads] == [10, 20, 30, 40]


def test_running_loads_count_against_the_bound():
    holdings = [
        EngineHoldings('e-1', None, loading=LARGE),
        EngineHoldings('e-2', None),
    ]
    wanted = [WantedHoldings('e-1', LARGE), WantedHoldings('e-2', SMALL)]
    loads = plan_loads(holdings, wanted, max_loads=1)
    assert [(load.engine, load.starts) for load in loads] == [('e-2', False)]
    assert loads[0].ready_at == 11


def test_model_comes_before_its_adapters_one_at_a_time():
    wanted = [WantedHoldings('e-1', SMALL, frozenset((STYLE,)))]
    loads = plan_loads([EngineHoldings('e-1', None)], wanted)
    assert [load.command for load in loads] == [SMALL, STYLE]
    assert [load.starts for load in loads] == [True, False]
    loads = plan_loads([EngineHoldings('e-1', SMALL)], wanted)
    assert [load.starts for load in loads] == [True]
    held = EngineHoldings('e-1', SMALL, frozenset((STYLE,)))
    assert not plan_loads([held], wanted)


def test_model_that_no_engine_holds_comes_first():
    holdings = [
        EngineHoldings('e-1', SMALL),
        EngineHoldings('e-2', None),
        EngineHoldings('e-3', None),
    ]
    wanted = [
        WantedHoldings('e-1', SMALL),
        WantedHoldings('e-2', SMALL),
        WantedHoldings('e-3', LARGE),
    ]
    loads = plan_loads(holdings, wanted, max_loads=1)
    assert [load.engine for load in loads] == ['e-3', 'e-2']


class FakeEngines:
    """Engines that complete every command within a second."""

    def __init__(self, count, failing_version=None):
        self.rollout = ROLLOUT
        self.least_serving = count
        self._failing_version = failing_version
        self._engines_by_name = {
            f'e-{number}': EngineVersion(f'e-{number}', '1')
            for number in range(count)
        }

    @property
    def versions(self):
        return {engine.version for engine in self._engines_by_name.values()}

    def run(self, seconds):
        for now in range(seconds):
            engines = list(self._engines_by_name.values())
            plan = plan_rollout(BOUNDS, self.rollout, engines, now)
            self.rollout = plan.rollout
            for step in plan.steps:
                self._carry_out(step, now)
            self._answer()

    def _carry_out(self, step, now):
        match step.command:
            case Drain():
                changes = {'phase': EnginePhase.DRAINING}
            case LoadModel(version=version):
                changes = {'version': version, 'answered': 0, 'failed': 0}
            case Resume():
                changes = {'phase': EnginePhase.SERVING, 'resumed_at': now}
        self._change(step.engine, **changes)

    def _answer(self):
        serving = [
            engine
            for engine in self._engines_by_name.values()
            if engine.phase is EnginePhase.SERVING
        ]
        self.least_serving = min(self.least_serving, len(serving))
        for engine in serving:
            failing = engine.version == self._failing_version
            counted = 'failed' if failing else 'answered'
            count = getattr(engine, counted) + 1
            self._change(engine.engine, **{counted: count})

    def _change(self, name, **changes):
        engine = self._engines_by_name[name]
        self._engines_by_name[name] = dataclasses.replace(engine, **changes)


@pytest.mark.parametrize('count', [2, 6, 9, 30])
def test_rollout_reaches_every_engine_and_keeps_most_serving(count):
    engines = FakeEngines(count)
    engines.run(seconds=600)
    assert engines.rollout.status is RolloutStatus.DONE
    assert engines.versions == {'2'}
    assert engines.least_serving >= max(count * 0.8 - 1, 1)


def test_failing_version_is_rolled_back_after_the_first_engine():
    engines = FakeEngines(9, failing_version='2')
    engines.run(seconds=200)
    assert engines.rollout.status is RolloutStatus.ROLLED_BACK
    assert engines.versions == {'1'}
    assert engines.least_serving == 8


def test_failed_load_rolls_back():
    engines = [
        EngineVersion('e-1', '1', EnginePhase.LOAD_FAILED),
        EngineVersion('e-2', '1'),
    ]
    plan = plan_rollout(BOUNDS, ROLLOUT, engines, now=0)
    assert plan.rollout.status is RolloutStatus.ROLLING_BACK
    assert [step.command for step in plan.steps] == [LoadModel('wording', '1')]


def test_only_engine_is_never_taken_out():
    engines = [EngineVersion('e-1', '1')]
    assert not plan_rollout(BOUNDS, ROLLOUT, engines, now=0).steps


def test_busy_engine_is_waited_for():
    engines = [
        EngineVersion('e-1', '1', EnginePhase.DRAINING, sequences=1),
        EngineVersion('e-2', '1'),
    ]
    assert not plan_rollout(BOUNDS, ROLLOUT, engines, now=0).steps


def test_engine_without_responses_is_proven_by_time():
    engines = [
        EngineVersion('e-1', '2', resumed_at=0),
        EngineVersion('e-2', '1'),
    ]
    assert not plan_rollout(BOUNDS, ROLLOUT, engines, now=29).steps
    assert plan_rollout(BOUNDS, ROLLOUT, engines, now=30).steps
