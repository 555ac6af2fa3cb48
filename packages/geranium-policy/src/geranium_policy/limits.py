"""Concurrency limits: the cost that may run on one engine of a service."""

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class FixedLimit:
    """A constant limit for each engine, regardless of latency."""

    cost_per_engine: float = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """A limit for each engine that adapts to the times to the first token.

    Each first token later than ``late_share`` of the objective multiplies the
    limit by ``1 - decrease``. Every other one multiplies it by
    ``1 + increase``. The limit settles where a share of
    ``increase / (increase + decrease)`` of the first tokens are late. While
    the limit is not binding, it does not increase beyond ``start_cost``.
    """

    objective_s: float = 0.56
    late_share: float = 0.8
    start_cost: float = 150_000
    min_cost: float = 75_000
    max_cost: float = 1_000_000
    increase: float = 0.02
    decrease: float = 0.08


Limit: TypeAlias = FixedLimit | AdaptiveLimit


class EngineLimit:
    """Computes the cost that may run on one engine of a service."""

    def __init__(self, settings: Limit) -> None:
        self._settings = settings
        match settings:
            case FixedLimit():
                self.cost = settings.cost_per_engine
            case AdaptiveLimit():
                self.cost = settings.start_cost

    def observe(self, first_token_s: float, *, binding: bool) -> None:
        """Record the time from a request's admission to its first token.

        ``binding`` indicates whether requests are queued because of the limit.
        """
        match self._settings:
            case AdaptiveLimit():
                self._adapt(self._settings, first_token_s, binding)
            case FixedLimit():
                return

    def _adapt(
        self,
        settings: AdaptiveLimit,
        first_token_s: float,
        binding: bool,
    ) -> None:
        if first_token_s > settings.late_share * settings.objective_s:
            self.cost *= 1 - settings.decrease
        elif binding or self.cost < settings.start_cost:
            self.cost *= 1 + settings.increase
        self.cost = max(self.cost, settings.min_cost)
        self.cost = min(self.cost, settings.max_cost)
