"""The methods that ``even_load`` compares."""

import dataclasses
import functools
import random
from collections.abc import Mapping, Sequence
from types import MappingProxyType

from geranium_policy.engine_rates import EngineRates
from geranium_policy.load_estimates import (
    DrainedLoadSettings,
    KnownLoad,
    LoadEstimate,
    present_loads,
)
from geranium_policy.near_choices import (
    NearChoice,
    UniformChoice,
    WeightedChoice,
)
from geranium_policy.prompt_placement import (
    EngineState,
    PlacementDecision,
    PromptDemand,
    PromptPlacementSettings,
    PromptPlacer,
)
from geranium_policy.stale_loads import StaleLoadSettings
from stale_hosts import LoadSums, MakeMethod

OCCUPANCY_S = 0.2  # as in the relay


@dataclasses.dataclass(frozen=True, slots=True)
class MethodSettings:
    """How a method decides.

    Args:
        estimate: Estimates the present loads.
        prompts: Parameters of the cost comparison.
        near_choice: How engines of similar cost are weighted.
        candidates: Number of random engines of each stage that are compared
            with the home engines; 0 for all.
        rechecks: Whether the generator of a prompt that was prefilled on
            another engine is chosen again when the prompt is sent.
    """

    estimate: LoadEstimate
    prompts: PromptPlacementSettings
    near_choice: NearChoice = dataclasses.field(default_factory=UniformChoice)
    candidates: int = 0
    rechecks: bool = False


class PolicyMethod:
    """Chooses by the product's placement of prompts."""

    def __init__(
        self,
        settings: MethodSettings,
        rates: EngineRates,
        source: random.Random,
    ) -> None:
        self.rechecks = settings.rechecks
        self._settings = settings
        self._rates = rates
        self._source = source
        self._placer = PromptPlacer(
            settings.prompts, source, settings.near_choice
        )

    def choose(
        self,
        demand: PromptDemand,
        own: Sequence[EngineState],
        peers: LoadSums,
        age_s: float,
    ) -> PlacementDecision:
        """Return the decision."""
        states = self._candidates(self._states(own, peers, age_s))
        return self._placer.choose(demand, states, self._rates)

    def choose_generator(
        self,
        own: Sequence[EngineState],
        peers: LoadSums,
        age_s: float,
    ) -> str | None:
        """Return the engine that generates from a prefilled prompt."""
        states = self._states(own, peers, age_s)
        return self._placer.choose_generator(states, self._rates)

    def _states(
        self,
        own: Sequence[EngineState],
        peers: LoadSums,
        age_s: float,
    ) -> list[EngineState]:
        self._placer.age_s = age_s
        loads = {}
        for prefill_only in (False, True):
            known = {
                engine.name: self._known_load(engine, peers)
                for engine in own
                if engine.prefill_only is prefill_only
            }
            loads.update(present_loads(self._settings.estimate, known, age_s))
        return [
            dataclasses.replace(
                engine,
                running=loads[engine.name].running,
                queued_tokens=loads[engine.name].queued_tokens,
            )
            for engine in own
        ]

    def _known_load(self, engine: EngineState, peers: LoadSums) -> KnownLoad:
        if engine.prefill_only:
            rate = self._rates.prefill_only_tokens_per_s
        else:
            rate = self._rates.generating_tokens_per_s
        return KnownLoad(
            engine.running,
            engine.queued_tokens,
            peers.running[engine.name],
            max(peers.tokens[engine.name], 0),
            engine.slots,
            rate / engine.correction,
        )

    def _candidates(self, states: list[EngineState]) -> list[EngineState]:
        count = self._settings.candidates
        if not count:
            return states
        chosen = [engine for engine in states if engine.is_home]
        for prefill_only in (False, True):
            others = [
                engine
                for engine in states
                if engine.prefill_only is prefill_only and not engine.is_home
            ]
            chosen.extend(self._source.sample(others, count))
        return chosen


_UNIFORM = PromptPlacementSettings()
_OCCUPIED = PromptPlacementSettings(occupancy_s=OCCUPANCY_S)
_WEIGHTED = WeightedChoice()
_SHRUNK = StaleLoadSettings()
_DRAINED = DrainedLoadSettings()
_SETTINGS: Mapping[str, MethodSettings] = MappingProxyType(
    {
        'today': MethodSettings(_SHRUNK, _UNIFORM),
        'today, weighted': MethodSettings(_SHRUNK, _UNIFORM, _WEIGHTED),
        'today, two': MethodSettings(_SHRUNK, _UNIFORM, candidates=2),
        'drained': MethodSettings(_DRAINED, _UNIFORM),
        'drained, two': MethodSettings(_DRAINED, _OCCUPIED, candidates=2),
        'drained, occupied': MethodSettings(_DRAINED, _OCCUPIED),
        'even': MethodSettings(_DRAINED, _OCCUPIED, _WEIGHTED),
        'even, rechecked': MethodSettings(
            _DRAINED, _OCCUPIED, _WEIGHTED, rechecks=True
        ),
    }
)

METHODS: Mapping[str, MakeMethod] = MappingProxyType(
    {
        name: functools.partial(PolicyMethod, settings)
        for name, settings in _SETTINGS.items()
    }
)
