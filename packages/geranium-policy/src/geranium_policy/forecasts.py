"""Forecasts: the work that a service is about to have."""

import dataclasses

from .engine_views import EngineSpeed
from .rates import DecayingRate, RateSettings

FAST_TIME_CONSTANT_S = 5
SLOW_TIME_CONSTANT_S = 30
FAST = RateSettings(FAST_TIME_CONSTANT_S)
SLOW = RateSettings(SLOW_TIME_CONSTANT_S)


@dataclasses.dataclass(frozen=True, slots=True)
class ForecastSettings:
    """How admitted work is carried forward.

    The forecast is the fast average plus ``trend_gain`` times what it is
    above or below the slow one.
    """

    fast: RateSettings = FAST
    slow: RateSettings = SLOW
    trend_gain: float = 0.5


class RateForecast:
    """Forecasts a rate from a fast and a slow average."""

    def __init__(self, settings: ForecastSettings, now: float) -> None:
        self._settings = settings
        self._fast = DecayingRate(settings.fast, now)
        self._slow = DecayingRate(settings.slow, now)

    def record(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._fast.record(amount, now)
        self._slow.record(amount, now)

    def per_second(self, now: float) -> float:
        """Return the rate that is expected, 0 while it can't be told."""
        fast = self._fast.per_second(now) or 0
        slow = self._slow.per_second(now) or 0
        return max(fast + self._settings.trend_gain * (fast - slow), 0)


@dataclasses.dataclass(frozen=True, slots=True)
class RoleDemand:
    """Work of each phase, in engines that it keeps busy."""

    prefill: float
    decode: float


class DemandForecast:
    """Forecasts a service's work from its admitted requests.

    Admitted work is known before any engine reports it, so a change of the
    prompt-to-output ratio shows here first.
    """

    def __init__(
        self,
        settings: ForecastSettings,
        speed: EngineSpeed,
        between_tokens_objective_s: float,
        now: float,
    ) -> None:
        self._prompt = RateForecast(settings, now)
        self._generated = RateForecast(settings, now)
        self._speed = speed
        self._objective_s = between_tokens_objective_s

    def record(
        self,
        uncached_tokens: int,
        expected_tokens: int,
        now: float,
    ) -> None:
        """Count an admitted request."""
        self._prompt.record(uncached_tokens, now)
        self._generated.record(expected_tokens, now)

    def demand(self, now: float) -> RoleDemand:
        """Return the work that is expected.

        A decode engine is full once its step takes the objective between
        tokens, which bounds its sequences and so its tokens a second.
        """
        speed = self._speed
        room_s = self._objective_s - speed.decode_step_s
        sequences = max(room_s / speed.decode_s_per_sequence, 1)
        tokens_per_s = sequences / self._objective_s
        return RoleDemand(
            prefill=self._prompt.per_second(now) * speed.prefill_s_per_token,
            decode=self._generated.per_second(now) / tokens_per_s,
        )
