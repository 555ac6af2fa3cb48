"""Exponentially weighted rates and means."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class RateSettings:
    """Parameters of a decaying rate.

    Args:
        time_constant_s: Time in which an amount's weight falls by a factor
            of e.
        min_period_s: Minimum observation time before a rate is available.
    """

    time_constant_s: float = 3
    min_period_s: float = 0.5


class DecayingRate:
    """An exponentially weighted rate per second."""

    def __init__(self, settings: RateSettings, now: float) -> None:
        self._settings = settings
        self._started_at = now
        self._updated_at = now
        self._weighted: float = 0

    def record(self, amount: float, now: float) -> None:
        """Add an amount."""
        self._decay(now)
        self._weighted += amount

    def per_second(self, now: float) -> float | None:
        """Return the rate, or ``None`` before ``min_period_s``."""
        period_s = now - self._started_at
        if period_s < self._settings.min_period_s:
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
    """The weight of each new value in a decaying mean."""

    weight: float = 0.05


class DecayingMean:
    """An exponentially weighted mean, initially 0."""

    def __init__(self, settings: MeanSettings) -> None:
        self.mean: float = 0
        self._weight = settings.weight

    def record(self, value: float) -> None:
        """Update the mean with a value."""
        self.mean += self._weight * (value - self.mean)
