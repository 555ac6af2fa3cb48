"""Short-term forecasts of a service's demand."""

import dataclasses

from .engine_views import EngineSpeed
from .profiles import RequestProfile
from .rates import DecayingRate, RateSettings

FAST_TIME_CONSTANT_S = 5
SLOW_TIME_CONSTANT_S = 30
FAST = RateSettings(FAST_TIME_CONSTANT_S)
SLOW = RateSettings(SLOW_TIME_CONSTANT_S)


@dataclasses.dataclass(frozen=True, slots=True)
class ForecastSettings:
    """Parameters of the forecast.

    The forecast is the fast average plus ``trend_gain`` times its difference
    from the slow average.

    Args:
        between_tokens_objective_s: Objective for the time between tokens.
        kv_pieces: KV memory of an engine in pieces.
        fast: Settings of the fast average.
        slow: Settings of the slow average.
        trend_gain: Weight of the difference.
    """

    between_tokens_objective_s: float = 0.043
    kv_pieces: int = 2000
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
        """Add an amount to both averages."""
        self._fast.record(amount, now)
        self._slow.record(amount, now)

    def per_second(self, now: float) -> float:
        """Return the expected rate, 0 if there is not enough data."""
        fast = self._fast.per_second(now) or 0
        slow = self._slow.per_second(now) or 0
        return max(fast + self._settings.trend_gain * (fast - slow), 0)


@dataclasses.dataclass(frozen=True, slots=True)
class RoleDemand:
    """Work of each phase, in number of fully utilised engines."""

    prefill: float
    decode: float

    def __add__(self, other: 'RoleDemand') -> 'RoleDemand':
        """Return the sum of both demands."""
        return RoleDemand(
            self.prefill + other.prefill,
            self.decode + other.decode,
        )


class DemandForecast:
    """Forecasts a service's demand from its admitted requests.

    Admitted requests are known before engines report their load, so a change
    of the prompt-to-output ratio is detected early.
    """

    def __init__(
        self,
        settings: ForecastSettings,
        speed: EngineSpeed,
        now: float,
    ) -> None:
        self._settings = settings
        self._speed = speed
        self._prompt = RateForecast(settings, now)
        self._generated = RateForecast(settings, now)
        self._held = RateForecast(settings, now)

    def record(
        self,
        profile: RequestProfile,
        uncached_tokens: int,
        now: float,
    ) -> None:
        """Record an admitted request and its number of uncached tokens."""
        length = profile.prompt_tokens + profile.expected_tokens
        self._prompt.record(uncached_tokens, now)
        self._generated.record(profile.expected_tokens, now)
        self._held.record(profile.expected_tokens * length, now)

    def demand(self, now: float) -> RoleDemand:
        """Return the expected demand."""
        generated = self._generated.per_second(now)
        prompt = self._prompt.per_second(now)
        decode: float = 0
        if generated:
            length = self._held.per_second(now) / generated
            decode = generated / self._tokens_per_s(length)
        return RoleDemand(prompt * self._speed.prefill_s_per_token, decode)

    def _tokens_per_s(self, length: float) -> float:
        """Return a decode engine's token rate for a mean sequence length.

        The engine is saturated when its step time reaches the objective for
        the time between tokens or its memory is full, whichever is first.
        """
        speed = self._speed
        objective_s = self._settings.between_tokens_objective_s
        room_s = objective_s - speed.decode_step_s
        tokens = self._settings.kv_pieces * speed.tokens_per_piece
        sequences = min(
            room_s / speed.decode_s_per_sequence,
            tokens / max(length, 1),
        )
        sequences = max(sequences, 1)
        step_s = speed.decode_step_s + sequences * speed.decode_s_per_sequence
        return sequences / step_s
