"""Prefill rates of engines and corrections from observed times."""

import dataclasses

PRIOR_TOKENS_PER_S = 50000.0  # prior for an engine with four accelerators
GENERATING_SHARE = 0.5  # engines that also generate prefill at half the rate


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRates:
    """Prefill rates of prefill-only engines and of engines that generate."""

    prefill_only_tokens_per_s: float = PRIOR_TOKENS_PER_S
    generating_tokens_per_s: float = PRIOR_TOKENS_PER_S * GENERATING_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class CorrectionSettings:
    """Parameters of the corrections.

    Args:
        gain: Weight of one observation.
        least: Lower bound of a correction.
        most: Upper bound of a correction, low enough for an engine to
            recover from it.
        min_expected_s: Minimum expected time of an observation. Shorter
            ones are too inaccurate and are ignored.
        fade_s: Time after which half of the deviation from 1 remains without
            new observations, so that a slow engine is tried again.
    """

    gain: float = 0.15
    least: float = 0.5
    most: float = 6
    min_expected_s: float = 0.03
    fade_s: float = 4


class LatencyCorrections:
    """Moving averages of each engine's ratio of observed to expected time."""

    def __init__(self, settings: CorrectionSettings) -> None:
        self._settings = settings
        self._ratio_by_name: dict[str, tuple[float, float]] = {}

    def observe(
        self,
        name: str,
        expected_s: float,
        taken_s: float,
        now: float,
    ) -> None:
        """Record an engine's expected and actual time."""
        settings = self._settings
        if expected_s < settings.min_expected_s:
            return
        ratio = min(max(taken_s / expected_s, settings.least), settings.most)
        known = self.factor(name, now)
        self._ratio_by_name[name] = (
            known + settings.gain * (ratio - known),
            now,
        )

    def factor(self, name: str, now: float) -> float:
        """Return the factor that corrects an engine's time estimates."""
        known = self._ratio_by_name.get(name)
        if known is None:
            return 1
        ratio, observed_at = known
        fade = self._settings.fade_s
        kept = fade / (fade + max(now - observed_at, 0))
        return 1 + (ratio - 1) * kept

    def remove(self, name: str) -> None:
        """Remove an engine's correction."""
        self._ratio_by_name.pop(name, None)
