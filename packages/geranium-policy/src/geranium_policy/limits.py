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

    It grows by ``increase`` for each first token that came within
    ``headroom`` of the objective and is cut by the factor ``decrease`` for
    each one that did not, at most once in ``interval_s``.
    """

    objective_s: float = 0.56
    headroom: float = 0.7
    start_cost: float = 60_000
    least_cost: float = 8_000
    greatest_cost: float = 400_000
    increase: float = 200
    decrease: float = 0.9
    interval_s: float = 0.5


Limit: TypeAlias = FixedLimit | AdaptiveLimit


class EngineLimit:
    """The cost that may run on one engine of a service."""

    def __init__(self, settings: Limit) -> None:
        self._settings = settings
        self._cut_at = float('-inf')
        match settings:
            case FixedLimit():
                self.cost = settings.cost_per_engine
            case AdaptiveLimit():
                self.cost = settings.start_cost

    def observe(self, first_token_s: float, now: float) -> None:
        """Take in how long after its dispatch a first token came."""
        match self._settings:
            case AdaptiveLimit():
                self._adapt(self._settings, first_token_s, now)
            case FixedLimit():
                return

    def _adapt(
        self,
        settings: AdaptiveLimit,
        first_token_s: float,
        now: float,
    ) -> None:
        if first_token_s <= settings.headroom * settings.objective_s:
            self.cost = min(
                self.cost + settings.increase,
                settings.greatest_cost,
            )
        elif now - self._cut_at >= settings.interval_s:
            self._cut_at = now
            self.cost = max(
                self.cost * settings.decrease,
                settings.least_cost,
            )
