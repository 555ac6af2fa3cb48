"""How fast engines read prompts, learned from the times they take."""

import dataclasses

PRIOR_TOKENS_PER_S = 50000.0  # an engine of four accelerators, until measured
GENERATING_SHARE = 0.5  # engines that generate read at half the speed


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRates:
    """Prompt tokens a second of engines that only read and that generate."""

    reading_tokens_per_s: float = PRIOR_TOKENS_PER_S
    generating_tokens_per_s: float = PRIOR_TOKENS_PER_S * GENERATING_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class CorrectionSettings:
    """How observed times change the estimates.

    Args:
        gain: Weight of one observation.
        least: Lower bound of a correction.
        most: Upper bound, from which an engine still recovers.
        least_expected_s: Shorter estimates say too little.
        fade_s: An engine without observations returns towards 1 at this
            time constant, so that it is tried again.
    """

    gain: float = 0.15
    least: float = 0.5
    most: float = 6
    least_expected_s: float = 0.03
    fade_s: float = 4


class LatencyCorrections:
    """Observed over expected time of each engine, as a moving average."""

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
        """Take in how long an engine took where an estimate stood."""
        settings = self._settings
        if expected_s < settings.least_expected_s:
            return
        ratio = min(max(taken_s / expected_s, settings.least), settings.most)
        known = self.factor(name, now)
        self._ratio_by_name[name] = (
            known + settings.gain * (ratio - known),
            now,
        )

    def factor(self, name: str, now: float) -> float:
        """Return the factor by which an engine's estimates are off."""
        known = self._ratio_by_name.get(name)
        if known is None:
            return 1
        ratio, observed_at = known
        fade = self._settings.fade_s
        kept = fade / (fade + max(now - observed_at, 0))
        return 1 + (ratio - 1) * kept

    def remove(self, name: str) -> None:
        """Drop what is known of an engine."""
        self._ratio_by_name.pop(name, None)
