"""Rates: amounts for each second, the recent ones counting most."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class RateSettings:
    """How a rate is measured.

    Args:
        time_constant_s: Older amounts count less by the factor e after
            this time.
        least_period_s: No rate is given before so much time has passed.
    """

    time_constant_s: float = 3
    least_period_s: float = 0.5


class DecayingRate:
    """An exponentially weighted amount for each second."""

    def __init__(self, settings: RateSettings, now: float) -> None:
        self._settings = settings
        self._started_at = now
        self._updated_at = now
        self._weighted: float = 0

    def record(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._decay(now)
        self._weighted += amount

    def per_second(self, now: float) -> float | None:
        """Return the rate, ``None`` while it can't be told."""
        period_s = now - self._started_at
        if period_s < self._settings.least_period_s:
            return None
        self._decay(now)
        constant_s = self._settings.time_constant_s
        observed_s = constant_s * -math.expm1(-period_s / constant_s)
        return self._weighted / observed_s

    def _decay(self, now: float) -> None:
        passed_s = now - self._updated_at
        if passed_s > 0:
            self._weighted *= math.exp(
                -passed_s / self._settings.time_constant_s,
            )
            self._updated_at = now


@dataclasses.dataclass(frozen=True, slots=True)
class MeanSettings:
    """The weight that each new value has in a mean."""

    weight: float = 0.05


class DecayingMean:
    """A mean in which older values count less; 0 without any."""

    def __init__(self, settings: MeanSettings) -> None:
        self.mean: float = 0
        self._weight = settings.weight

    def record(self, value: float) -> None:
        """Take in a value."""
        self.mean += self._weight * (value - self.mean)
