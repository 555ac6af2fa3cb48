"""Placement of prompts: which engine reads a prompt and which generates.

Answers load in which prompts share long beginnings and arrive in bursts of
one kind: an engine that has read the shared parts needs a fraction of the
time, and an engine with a queue may still take longer than one that reads
everything anew. Requests are turned away by how long they would wait, not by
their own size, so that long prompts are served as often as short ones.
"""

import dataclasses
import random
from collections.abc import Iterable, Iterator
from typing import TypeAlias

from .engine_rates import EngineRates


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPlacementSettings:
    """How engines are compared.

    Args:
        engine_time_weight: Seconds of an engine's time that weigh as much
            as one second of the caller's.
        cross_zone_s: Added where the body crosses zones, which is priced.
        transfer_s_per_token: Added for each token of a KV cache that moves.
        handoff_s: Time from a read prompt to its first token elsewhere.
        first_token_s: Time to a first token without queue or prompt.
        home_s: Taken off at the engine that hosts agree on for a prompt's
            shared parts, so that these are read once.
        wait_share: A request may wait so large a part of its latency
            objective for the engine.
        rank_step: Less of it for each rank that others are more urgent.
        least_share: What is left of it for the least urgent.
        late_share: A request that is late may wait so large a part of the
            time that its caller still gives.
        full_share: An engine with so many of its slots in use is full.
        spread_s: Choices whose costs differ by less are taken at random:
            hosts that have heard the same would otherwise all choose alike
            until they hear of each other.
        partner_spread: The same for engines that only generate, as a share
            of their slots.
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


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """What is known of an engine at the moment of a choice.

    Args:
        name: Identifies the engine.
        same_zone: Whether it is in the zone of the choosing host.
        prefill_only: Whether it reads prompts and can't generate.
        slots: Requests that it runs at once.
        running: Requests that run or wait there.
        queued_tokens: Prompt tokens that are read before this request's.
        cached_tokens: Tokens of this prompt that it keeps.
        is_home: Whether hosts agree on it for the prompt's shared parts.
        correction: Its observed times relative to the estimates.
    """

    name: str
    same_zone: bool
    prefill_only: bool
    slots: int
    running: int
    queued_tokens: float
    cached_tokens: int
    is_home: bool
    correction: float


@dataclasses.dataclass(frozen=True, slots=True)
class PromptDemand:
    """What a request needs.

    Args:
        tokens: Its prompt.
        rank: 0 for the most urgent.
        target_latency_s: When the first token is due, from now.
        left_s: Time until nobody waits any more.
        is_late: Whether it has missed its objective already.
    """

    tokens: int
    rank: int
    target_latency_s: float
    left_s: float
    is_late: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where a request goes.

    Args:
        reader: Engine that reads the prompt for ``generator``; ``None`` if
            that reads it itself.
        generator: Engine that generates.
        fresh_tokens: Tokens that have to be read.
        wait_s: Expected wait for the engine that reads.
        first_s: Expected time to the first token.
    """

    reader: str | None
    generator: str
    fresh_tokens: int
    wait_s: float
    first_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TooBusy:
    """No engine gets to the request in time.

    ``free_in_s`` is when the least busy one would.
    """

    free_in_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoEngine:
    """There is no engine that can generate."""


PlacementDecision: TypeAlias = Placement | TooBusy | NoEngine


class PromptPlacer:
    """Compares engines by the expected time and the price of using them.

    Args:
        settings: How they are compared.
        source: Chooses between engines that are about equal.
    """

    def __init__(
        self,
        settings: PromptPlacementSettings,
        source: random.Random,
    ) -> None:
        self._settings = settings
        self._source = source

    def choose(
        self,
        demand: PromptDemand,
        engines: Iterable[EngineState],
        rates: EngineRates,
    ) -> PlacementDecision:
        """Return where a request goes, or why it can't go anywhere."""
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
        least = min(cost for cost, _ in in_time) + self._settings.spread_s
        near = [option for cost, option in in_time if cost <= least]
        return self._source.choice(near)

    def choose_generator(
        self,
        engines: Iterable[EngineState],
        rates: EngineRates,
    ) -> str | None:
        """Return the engine to generate from a prompt that has been read."""
        partner = self._partner(self._generators(engines), rates)
        return None if partner is None else partner.name

    def _is_in_time(self, demand: PromptDemand, option: Placement) -> bool:
        return (
            option.wait_s <= self._longest_wait_s(demand)
            and option.first_s < demand.left_s
        )

    def _longest_wait_s(self, demand: PromptDemand) -> float:
        """Return how long a request may wait for an engine."""
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
            yield self._whole(demand, engine, rates)
        partner = self._partner(generators, rates)
        if partner is None:
            return
        for engine in engines:
            if engine.prefill_only and self._has_room(engine):
                yield self._split(demand, engine, partner, rates)

    def _generators(
        self,
        engines: Iterable[EngineState],
    ) -> list[EngineState]:
        return [
            engine
            for engine in engines
            if not engine.prefill_only and self._has_room(engine)
        ]

    def _partner(
        self,
        generators: Iterable[EngineState],
        rates: EngineRates,
    ) -> EngineState | None:
        costs = [
            (self._partner_cost(rates, engine), engine) for engine in generators
        ]
        if not costs:
            return None
        least = min(cost for cost, _ in costs) + self._settings.partner_spread
        near = [engine for cost, engine in costs if cost <= least]
        return self._source.choice(near)

    def _has_room(self, engine: EngineState) -> bool:
        return engine.running < engine.slots * self._settings.full_share

    def _partner_cost(self, rates: EngineRates, engine: EngineState) -> float:
        """Weigh an engine that only generates: what it runs and reads."""
        cost = engine.running / engine.slots
        cost += engine.queued_tokens / rates.generating_tokens_per_s
        cost *= engine.correction
        return cost if engine.same_zone else cost + self._settings.cross_zone_s

    def _whole(
        self,
        demand: PromptDemand,
        engine: EngineState,
        rates: EngineRates,
    ) -> tuple[float, Placement]:
        fresh = max(demand.tokens - engine.cached_tokens, 1)
        speed = rates.generating_tokens_per_s / engine.correction
        wait_s = engine.queued_tokens / speed
        first_s = wait_s + fresh / speed + self._settings.first_token_s
        placement = Placement(None, engine.name, fresh, wait_s, first_s)
        return self._cost(engine, placement, speed), placement

    def _split(
        self,
        demand: PromptDemand,
        engine: EngineState,
        partner: EngineState,
        rates: EngineRates,
    ) -> tuple[float, Placement]:
        settings = self._settings
        fresh = max(demand.tokens - engine.cached_tokens, 1)
        speed = rates.reading_tokens_per_s / engine.correction
        wait_s = engine.queued_tokens / speed
        first_s = wait_s + fresh / speed + settings.handoff_s
        placement = Placement(
            engine.name,
            partner.name,
            fresh,
            wait_s,
            first_s,
        )
        cost = self._cost(engine, placement, speed)
        cost += settings.transfer_s_per_token * demand.tokens
        if not partner.same_zone:
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
