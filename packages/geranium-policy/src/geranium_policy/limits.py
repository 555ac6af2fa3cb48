"""Limits: how much may run on one engine of a service."""

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class FixedLimit:
    """So much cost may run on each engine, whatever the latency."""

    cost_per_engine: float = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """The cost that may run on an engine follows the first tokens' times.

    Each first token later than ``late_share`` of the objective shrinks it by
    ``decrease`` and each other one lets it grow by ``increase``, so that it
    settles where ``increase / (increase + decrease)`` of the first tokens
    are late. While it does not bind it grows no further than ``start_cost``.
    """

    objective_s: float = 0.56
    late_share: float = 0.8
    start_cost: float = 150_000
    least_cost: float = 75_000
    greatest_cost: float = 1_000_000
    increase: float = 0.02
    decrease: float = 0.08


Limit: TypeAlias = FixedLimit | AdaptiveLimit


class EngineLimit:
    """The cost that may run on one engine of a service."""

    def __init__(self, settings: Limit) -> None:
        self._settings = settings
        match settings:
            case FixedLimit():
                self.cost = settings.cost_per_engine
            case AdaptiveLimit():
                self.cost = settings.start_cost

    def observe(self, first_token_s: float, *, binding: bool) -> None:
        """Take in how long after its dispatch a first token came.

        ``binding`` says whether the limit keeps requests waiting.
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
        self.cost = max(self.cost, settings.least_cost)
        self.cost = min(self.cost, settings.greatest_cost)
