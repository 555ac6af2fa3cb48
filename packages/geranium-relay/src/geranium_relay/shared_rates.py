"""Prefill rates of engines that the hosts of a large fleet learn together."""

import math
from collections.abc import Callable, Iterable, Mapping

from geranium_policy.engine_rates import EngineRates
from geranium_policy.learned_rates import (
    LearnedRates,
    LearnedRateSettings,
    MeasuredPrefill,
)
from geranium_policy.prompt_placement import PromptPlacementSettings

from .decision_log import DecisionLog
from .load_tracker import Dispatch
from .observation_queue import ObservationQueue
from .peer_updates import KeysByHash, name_hash
from .rate_observations import RateObservation
from .targets import Stage, Target

LOG_INTERVAL_S = 30.0
LOGGED_ENGINES = 3  # the slowest and the fastest ones
FIRST_TOKEN_S = PromptPlacementSettings().first_token_s


class SharedRates:
    """Learns from the prefills of this host and from those of its peers.

    Args:
        is_large: Returns whether the fleet is so large that a host sees too
            few prefills by itself. Otherwise nothing is learned or used.
        log: Receives the learned rates.

    ``queue`` holds the observations for the other hosts.
    """

    def __init__(
        self,
        is_large: Callable[[], bool] = bool,
        log: DecisionLog | None = None,
    ) -> None:
        self.queue = ObservationQueue()
        self._is_large = is_large
        self._log = log
        self._learned = LearnedRates(LearnedRateSettings())
        self._logged_at_by_service: dict[str, float] = {}

    def rates(self, service: str, configured: EngineRates) -> EngineRates:
        """Return the rates of a service's engines.

        A stage that is not known yet differs from its configured rate as the
        other one does: without that, the stage that is known would get all
        prompts, and the other one would never be known.
        """
        if not self._is_large():
            return configured
        prefill = self._learned.rate((service, True))
        generating = self._learned.rate((service, False))
        if prefill is not None:
            ratio = prefill / configured.prefill_only_tokens_per_s
        elif generating is not None:
            ratio = generating / configured.generating_tokens_per_s
        else:
            return configured
        return EngineRates(
            prefill or configured.prefill_only_tokens_per_s * ratio,
            generating or configured.generating_tokens_per_s * ratio,
        )

    def factors(self, service: str, now: float) -> Mapping[str, float] | None:
        """Return the factors of a service's engines by key; 1 is left out.

        ``None`` in a small fleet, where each host corrects by itself.
        """
        if not self._is_large():
            return None
        return {
            **self._learned.factors((service, True), now),
            **self._learned.factors((service, False), now),
        }

    def observe(
        self,
        target: Target,
        dispatch: Dispatch,
        configured: EngineRates,
        now: float,
    ) -> None:
        """Record a prefill of this host that ends now, for all hosts."""
        if target.stage is None or not dispatch.tokens or not self._is_large():
            return
        taken_s = now - dispatch.sent_at
        rates = self.rates(target.service, configured)
        expected_per_s = rates.prefill_only_tokens_per_s
        if target.stage is not Stage.PREFILL:
            taken_s -= FIRST_TOKEN_S
            expected_per_s = rates.generating_tokens_per_s
        measured = MeasuredPrefill(
            dispatch.tokens, dispatch.ahead_tokens, taken_s
        )
        weight = measured.weight(self._learned.settings, expected_per_s)
        if weight < self._learned.settings.min_weight:
            return
        seen = RateObservation(
            name_hash(target.key), round(measured.tokens_per_s), weight
        )
        self.queue.forward((seen,))
        self._record(target, seen, now)
        self._log_rates(target.service, now)

    def record_peer(
        self,
        observations: Iterable[RateObservation],
        keys_by_hash: KeysByHash,
        find: Callable[[str], Target | None],
        now: float,
    ) -> None:
        """Record the observations in a peer's update.

        Args:
            observations: What the peer has seen.
            keys_by_hash: Keys of the targets.
            find: Returns the target of a key.
            now: The current time in seconds.
        """
        if not self._is_large():
            return
        for seen in observations:
            target = find(keys_by_hash.get(seen.target, ''))
            if target is not None and target.stage is not None:
                self._record(target, seen, now)

    def remove(self, key: str) -> None:
        """Remove an engine that no longer exists."""
        self._learned.remove(key)

    def _record(
        self, target: Target, seen: RateObservation, now: float
    ) -> None:
        group = target.service, target.stage is Stage.PREFILL
        self._learned.observe(
            group, target.key, seen.tokens_per_s, seen.weight, now
        )

    def _log_rates(self, service: str, now: float) -> None:
        logged_at = self._logged_at_by_service.get(service, -math.inf)
        if self._log is None or now - logged_at < LOG_INTERVAL_S:
            return
        self._logged_at_by_service[service] = now
        factors = self.factors(service, now) or {}
        by_factor = sorted(
            (round(factor, 2), key) for key, factor in factors.items()
        )
        self._log.record(
            'engine_rates',
            service=service,
            prefill_tokens_per_s=_rounded(self._learned.rate((service, True))),
            generating_tokens_per_s=_rounded(
                self._learned.rate((service, False))
            ),
            engines=len(factors),
            fastest=by_factor[:LOGGED_ENGINES],
            slowest=by_factor[: -LOGGED_ENGINES - 1 : -1],
        )


def _rounded(tokens_per_s: float | None) -> int | None:
    return None if tokens_per_s is None else round(tokens_per_s)
