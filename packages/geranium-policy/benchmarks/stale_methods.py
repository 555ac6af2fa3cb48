"""The methods that ``even_load`` compares."""

import dataclasses
import random
from collections.abc import Mapping, Sequence
from types import MappingProxyType

from geranium_policy.engine_rates import EngineRates
from geranium_policy.prompt_placement import (
    EngineState,
    PlacementDecision,
    PromptDemand,
    PromptPlacementSettings,
    PromptPlacer,
)
from geranium_policy.stale_loads import (
    StaleLoadSettings,
    report_weight,
    shrink_to_mean,
)
from stale_hosts import LoadSums, MakeMethod


class ShrunkLoads:
    """The product's default: tokens are shrunk towards the mean."""

    def __init__(self, rates: EngineRates, source: random.Random) -> None:
        self._rates = rates
        self._placer = PromptPlacer(PromptPlacementSettings(), source)

    def choose(
        self,
        demand: PromptDemand,
        own: Sequence[EngineState],
        peers: LoadSums,
        age_s: float,
    ) -> PlacementDecision:
        """Return the decision."""
        weight = report_weight(StaleLoadSettings(), age_s)
        tokens_by_name: dict[str, float] = {}
        for prefill_only in (False, True):
            reported = {
                engine.name: peers.tokens[engine.name]
                for engine in own
                if engine.prefill_only is prefill_only
            }
            tokens_by_name.update(shrink_to_mean(reported, weight))
        states = [
            dataclasses.replace(
                engine,
                running=engine.running + peers.running[engine.name],
                queued_tokens=engine.queued_tokens
                + tokens_by_name[engine.name],
            )
            for engine in own
        ]
        return self._placer.choose(demand, states, self._rates)


METHODS: Mapping[str, MakeMethod] = MappingProxyType({'shrunk': ShrunkLoads})
