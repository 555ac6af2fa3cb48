"""Placement of prompts: the choice of the prefill and decode engines.

The design assumes that prompts share long prefixes and arrive in bursts of
the same kind. An engine that has cached the shared prefix needs a fraction
of the prefill time, but with a queue it may still take longer than an engine
that prefills the whole prompt. Requests are refused by their expected wait,
not by their size, so that long prompts are served as often as short ones.
"""

import dataclasses
import random
from collections.abc import Iterable, Iterator, Sequence
from typing import TypeAlias, TypeVar

from .engine_rates import EngineRates
from .near_choices import NearChoice, UniformChoice, choose_near

_Option = TypeVar('_Option')
_UNIFORM = UniformChoice()


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPlacementSettings:
    """Parameters of the engine cost comparison.

    Args:
        engine_time_weight: Weight of an engine's prefill time relative to the
            caller's waiting time.
        cross_zone_s: Cost of sending the body across zones, which is billed.
        transfer_s_per_token: Cost of transferring one token's KV cache.
        handoff_s: Time from the end of a prefill to the first token on
            another engine.
        first_token_s: Time to the first token without queue and prefill.
        home_s: Cost reduction of the engine that all hosts prefer for a
            prompt's shared prefix, so that it is prefilled only once.
        wait_share: Maximum wait of the most urgent requests, as a share of
            their latency objective.
        rank_step: Reduction of that share for each rank.
        least_share: Lower bound of that share.
        late_share: Maximum wait of a late request, as a share of the time
            left until its caller's deadline.
        full_share: Share of its slots in use at which an engine is full.
        spread_s: Maximum cost difference within which the choice is random.
            Otherwise hosts with the same view would all choose the same
            engine until they receive each other's updates.
        partner_spread: The same for the choice of a decode engine, as a share
            of its slots.
        occupancy_s: Cost of generating on an engine with all slots in use; a
            share of it counts for each slot in use. Without it a choice
            between engines that also prefill does not weigh their slots.
    """

    engine_time_weight: float = 1
    cross_zone_s: float = 0.04
    transfer_s_per_token: float = 0.000003
    handoff_s: float = 0.03
    first_token_s: float = 0.02
    home_s: float = 0.08
    wait_share: float = 1
    rank_step: float = 0.15
    least_share: float = 0.4
    late_share: float = 0.5
    full_share: float = 1
    spread_s: float = 0.03
    partner_spread: float = 0.03
    occupancy_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """An engine's estimated state at the time of a choice.

    Args:
        name: Name of the engine.
        same_zone: Whether it is in the zone of the choosing host.
        prefill_only: Whether it only prefills prompts and can't generate.
        slots: Maximum number of concurrent requests.
        running: Number of requests that run or wait at the engine.
        queued_tokens: Prompt tokens to be prefilled before this request's.
        cached_tokens: Tokens of this prompt that are in its prefix cache.
        is_home: Whether all hosts prefer it for the prompt's shared prefix.
        correction: Ratio of its observed to its estimated times.
    """

    name: str
    same_zone: bool
    prefill_only: bool
    slots: int
    running: float
    queued_tokens: float
    cached_tokens: int
    is_home: bool
    correction: float


@dataclasses.dataclass(frozen=True, slots=True)
class PromptDemand:
    """The size and the deadlines of a request.

    Args:
        tokens: Length of the prompt.
        rank: Urgency; 0 is the most urgent.
        target_latency_s: Objective for the time to the first token.
        left_s: Time left until the caller's deadline.
        is_late: Whether it has already missed its latency objective.
    """

    tokens: int
    rank: int
    target_latency_s: float
    left_s: float
    is_late: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The engines chosen for a request.

    Args:
        reader: Engine that prefills the prompt for ``generator``; ``None`` if
            ``generator`` prefills it itself.
        generator: Engine that generates the response.
        fresh_tokens: Uncached prompt tokens to be prefilled.
        wait_s: Expected queueing delay at the engine that prefills.
        first_s: Expected time to the first token.
        queued_tokens: Tokens that are assumed to be prefilled before.
    """

    reader: str | None
    generator: str
    fresh_tokens: int
    wait_s: float
    first_s: float
    queued_tokens: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TooBusy:
    """No engine can start the request in time.

    ``free_in_s`` is the expected wait for the least busy engine.
    """

    free_in_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoEngine:
    """No engine can generate."""


PlacementDecision: TypeAlias = Placement | TooBusy | NoEngine


class PromptPlacer:
    """Chooses engines by expected latency and cost of use.

    Args:
        settings: Parameters of the cost comparison.
        source: Random source for choices between engines of similar cost.
        near_choice: How engines of similar cost are weighted.

    ``age_s`` is the mean age of the reports from which loads are estimated.
    """

    def __init__(
        self,
        settings: PromptPlacementSettings,
        source: random.Random,
        near_choice: NearChoice = _UNIFORM,
    ) -> None:
        self.age_s: float = 0
        self._settings = settings
        self._source = source
        self._near_choice = near_choice

    def choose(
        self,
        demand: PromptDemand,
        engines: Iterable[EngineState],
        rates: EngineRates,
    ) -> PlacementDecision:
        """Return the chosen engines, or the reason why there are none."""
        known = tuple(engines)
        options = list(self._options(demand, known, rates))
        if not options:
            if any(not engine.prefill_only for engine in known):
                return TooBusy(demand.target_latency_s)
            return NoEngine()
        in_time = [
            option for option in options if self._is_in_time(demand, option[1])
        ]
        if not in_time:
            return TooBusy(min(option[1].wait_s for option in options))
        return self._choose_near(in_time, self._settings.spread_s)

    def choose_generator(
        self,
        engines: Iterable[EngineState],
        rates: EngineRates,
    ) -> str | None:
        """Return the engine to generate from a prefilled prompt."""
        generator = self._pick_generator(self._generators(engines), rates)
        return None if generator is None else generator.name

    def _is_in_time(self, demand: PromptDemand, option: Placement) -> bool:
        return (
            option.wait_s <= self._max_wait_s(demand)
            and option.first_s < demand.left_s
        )

    def _max_wait_s(self, demand: PromptDemand) -> float:
        """Return the maximum wait of a request for an engine in seconds."""
        settings = self._settings
        if demand.is_late:
            return settings.late_share * demand.left_s
        share = settings.wait_share - settings.rank_step * demand.rank
        return max(share, settings.least_share) * demand.target_latency_s

    def _options(
        self,
        demand: PromptDemand,
        engines: tuple[EngineState, ...],
        rates: EngineRates,
    ) -> Iterator[tuple[float, Placement]]:
        generators = self._generators(engines)
        for engine in generators:
            yield self._local_option(demand, engine, rates)
        generator = self._pick_generator(generators, rates)
        if generator is None:
            return
        for engine in engines:
            if engine.prefill_only and self._has_room(engine):
                yield self._split_option(demand, engine, generator, rates)

    def _generators(
        self,
        engines: Iterable[EngineState],
    ) -> list[EngineState]:
        return [
            engine
            for engine in engines
            if not engine.prefill_only and self._has_room(engine)
        ]

    def _pick_generator(
        self,
        generators: Iterable[EngineState],
        rates: EngineRates,
    ) -> EngineState | None:
        costs = [
            (self._generator_cost(rates, engine), engine)
            for engine in generators
        ]
        if not costs:
            return None
        return self._choose_near(costs, self._settings.partner_spread)

    def _choose_near(
        self, options: Sequence[tuple[float, _Option]], spread: float
    ) -> _Option:
        return choose_near(
            self._near_choice, options, spread, self.age_s, self._source
        )

    def _has_room(self, engine: EngineState) -> bool:
        return engine.running < engine.slots * self._settings.full_share

    def _generator_cost(self, rates: EngineRates, engine: EngineState) -> float:
        """Return the cost of a decode engine from its load and its queue."""
        cost = engine.running / engine.slots
        cost += engine.queued_tokens / rates.generating_tokens_per_s
        cost *= engine.correction
        return cost if engine.same_zone else cost + self._settings.cross_zone_s

    def _local_option(
        self,
        demand: PromptDemand,
        engine: EngineState,
        rates: EngineRates,
    ) -> tuple[float, Placement]:
        fresh = max(demand.tokens - engine.cached_tokens, 1)
        speed = rates.generating_tokens_per_s / engine.correction
        wait_s = engine.queued_tokens / speed
        first_s = wait_s + fresh / speed + self._settings.first_token_s
        placement = Placement(
            None, engine.name, fresh, wait_s, first_s, engine.queued_tokens
        )
        cost = self._cost(engine, placement, speed)
        cost += self._settings.occupancy_s * engine.running / engine.slots
        return cost, placement

    def _split_option(
        self,
        demand: PromptDemand,
        engine: EngineState,
        generator: EngineState,
        rates: EngineRates,
    ) -> tuple[float, Placement]:
        settings = self._settings
        fresh = max(demand.tokens - engine.cached_tokens, 1)
        speed = rates.prefill_only_tokens_per_s / engine.correction
        wait_s = engine.queued_tokens / speed
        first_s = wait_s + fresh / speed + settings.handoff_s
        placement = Placement(
            engine.name,
            generator.name,
            fresh,
            wait_s,
            first_s,
            engine.queued_tokens,
        )
        cost = self._cost(engine, placement, speed)
        cost += settings.transfer_s_per_token * demand.tokens
        if not generator.same_zone:
            cost += settings.cross_zone_s
        return cost, placement

    def _cost(
        self,
        engine: EngineState,
        placement: Placement,
        speed: float,
    ) -> float:
        settings = self._settings
        cost = placement.first_s
        cost += settings.engine_time_weight * placement.fresh_tokens / speed
        if not engine.same_zone:
            cost += settings.cross_zone_s
        if engine.is_home:
            cost -= settings.home_s
        return cost
