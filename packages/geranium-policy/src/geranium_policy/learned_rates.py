"""Prefill rates of engines, learned from the observations of all hosts.

In a large fleet a host sends an engine less than one request a minute, so it
can't tell a slow engine by itself. Observations of all hosts together are
enough. A group of engines (those of a service and a stage) has a rate; each of
its engines has a factor relative to it.
"""

import dataclasses
import math
from collections.abc import Hashable
from typing import TypeAlias

from .engine_rates import PRIOR_TOKENS_PER_S

MIN_TAKEN_S = 0.001  # shorter times are errors of measurement


@dataclasses.dataclass(frozen=True, slots=True)
class LearnedRateSettings:
    """Parameters of the learned rates.

    Args:
        min_rate_weight: Weight of observations from which the rate of a group
            is used instead of the configured one.
        max_rate_weight: Weight of the observations that a rate is the mean of;
            older ones count less. A rate doesn't change without observations.
        fade_s: Time after which an observation of an engine counts by 1/e
            less, so that a slow engine is tried again.
        prior_weight: Weight of the assumption that an engine has the rate of
            its group; a factor fades to 1 with it.
        least: Lower bound of a factor.
        most: Upper bound of a factor.
        max_ratio: Rates that differ by more from the one known are clamped.
        full_weight_s: Expected prefill time from which an observation has its
            full weight. Below, fixed costs of the call outweigh the prefill.
        min_weight: Observations of less weight are not worth sending.
        refresh_s: Factors are computed again after this time, since each
            choice reads those of all engines.
    """

    min_rate_weight: float = 8
    max_rate_weight: float = 500
    fade_s: float = 12
    prior_weight: float = 0.7
    least: float = 0.3
    most: float = 6
    max_ratio: float = 8
    full_weight_s: float = 0.1
    min_weight: float = 0.05
    refresh_s: float = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class MeasuredPrefill:
    """One prefill as a host saw it.

    Args:
        fresh_tokens: Prompt tokens that were to be prefilled.
        queued_tokens: Tokens ahead of them, as the host assumed.
        taken_s: Time from the call to the end of the prefill, without the
            costs that don't depend on the number of tokens.
    """

    fresh_tokens: int
    queued_tokens: float
    taken_s: float

    @property
    def tokens_per_s(self) -> float:
        """The rate at which the engine prefilled the queue and the prompt."""
        tokens = self.fresh_tokens + self.queued_tokens
        return tokens / max(self.taken_s, MIN_TAKEN_S)

    def weight(
        self, settings: LearnedRateSettings, tokens_per_s: float
    ) -> float:
        """Return how much it says, from 0 to 1.

        Short prefills and those behind an estimated queue say little.

        Args:
            settings: Parameters of the learned rates.
            tokens_per_s: The rate that was expected.
        """
        expected_s = self.fresh_tokens / tokens_per_s
        length = min(expected_s / settings.full_weight_s, 1) ** 2
        share = self.fresh_tokens / (self.fresh_tokens + self.queued_tokens)
        return length * share


class _Mean:
    """A weighted mean of logarithms."""

    def __init__(self) -> None:
        self.weight: float = 0
        self.total: float = 0
        self.at = -math.inf

    def add(self, logarithm: float, weight: float) -> None:
        """Add an observation."""
        self.weight += weight
        self.total += logarithm * weight

    def scale(self, kept: float) -> None:
        """Reduce the weight of all observations to a share."""
        self.weight *= kept
        self.total *= kept


_Factors: TypeAlias = tuple[float, dict[str, float]]  # when computed


class LearnedRates:
    """Learns the rates of groups and the factors of their engines."""

    def __init__(self, settings: LearnedRateSettings) -> None:
        self.settings = settings
        self._mean_by_group: dict[Hashable, _Mean] = {}
        self._engines_by_group: dict[Hashable, dict[str, _Mean]] = {}
        self._factors_by_group: dict[Hashable, _Factors] = {}

    def observe(
        self,
        group: Hashable,
        engine: str,
        tokens_per_s: float,
        weight: float,
        now: float,
    ) -> None:
        """Record the rate at which an engine of a group has prefilled."""
        max_weight = self.settings.max_rate_weight
        logarithm = self._bounded_log(group, tokens_per_s)
        mean = self._mean_by_group.setdefault(group, _Mean())
        mean.add(logarithm, weight)
        if mean.weight > max_weight:
            mean.scale(max_weight / mean.weight)
        engines = self._engines_by_group.setdefault(group, {})
        own = engines.setdefault(engine, _Mean())
        own.scale(self._kept(own, now))
        own.add(logarithm, weight)
        own.at = now

    def rate(self, group: Hashable) -> float | None:
        """Return the tokens a second of a group, ``None`` if not known yet."""
        mean = self._mean_by_group.get(group)
        if mean is None or mean.weight < self.settings.min_rate_weight:
            return None
        return PRIOR_TOKENS_PER_S * math.exp(mean.total / mean.weight)

    def factors(self, group: Hashable, now: float) -> dict[str, float]:
        """Return the ratios of the engines' times to those of the group.

        Engines without observations are left out; their factor is 1. So are
        all engines while the rate of the group is not known.
        """
        computed_at, factors = self._factors_by_group.get(
            group, (-math.inf, {})
        )
        if now - computed_at >= self.settings.refresh_s:
            known = self._log_rate(group)
            engines: dict[str, _Mean] = {}
            if self.rate(group) is not None:
                engines = self._engines_by_group[group]
            factors = {
                engine: self._factor(mean, known, now)
                for engine, mean in engines.items()
            }
            self._factors_by_group[group] = now, factors
        return factors

    def remove(self, engine: str) -> None:
        """Remove an engine that no longer exists."""
        for engines in self._engines_by_group.values():
            engines.pop(engine, None)

    def _bounded_log(self, group: Hashable, tokens_per_s: float) -> float:
        known = self._log_rate(group)
        bound = math.log(self.settings.max_ratio)
        logarithm = _log_ratio(max(tokens_per_s, 1))
        return min(max(logarithm, known - bound), known + bound)

    def _log_rate(self, group: Hashable) -> float:
        rate = self.rate(group)
        return 0 if rate is None else _log_ratio(rate)

    def _factor(self, mean: _Mean, known: float, now: float) -> float:
        kept = self._kept(mean, now)
        settings = self.settings
        excess = known * mean.weight - mean.total
        weight = mean.weight * kept + settings.prior_weight
        factor = math.exp(excess * kept / weight)
        return min(max(factor, settings.least), settings.most)

    def _kept(self, mean: _Mean, now: float) -> float:
        age_s = max(now - mean.at, 0)
        return math.exp(-age_s / self.settings.fade_s)


def _log_ratio(tokens_per_s: float) -> float:
    return math.log(tokens_per_s / PRIOR_TOKENS_PER_S)
