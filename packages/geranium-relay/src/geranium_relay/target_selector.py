"""Selects targets for jobs by applying the placement policies."""

import random
from collections.abc import Callable, Iterable, Iterator, Mapping

from geranium_policy.engine_rates import EngineRates, LatencyCorrections
from geranium_policy.health import HealthTracker, Observation
from geranium_policy.load_estimates import PresentLoad
from geranium_policy.prompt_placement import (
    EngineState,
    NoEngine,
    Placement,
    PlacementDecision,
    PromptDemand,
    PromptPlacer,
    TooBusy,
)
from geranium_policy.refusals import RefusalBackoff
from geranium_policy.target_choice import TargetChooser, TargetState

from .catalogue import EngineProfile
from .engine_loads import EngineLoads
from .limit_probes import targets_beside_due
from .load_tracker import IDLE, Dispatch, LoadTracker
from .messages import Job, Prompt
from .prefix_cache_index import PrefixCacheIndex, PrefixCaches, home_engine
from .selector_settings import (
    SelectorContext,
    SharedRates,
    TargetSelectorSettings,
    even_load_settings,
)
from .target_pauses import pause_ends, with_pauses
from .targets import Fleet, Stage, Target

_NOTHING: frozenset[str] = frozenset()
PERMIT_LIFETIME_S = 0.5  # of a request that is selected and not sent yet


class TargetSelector:
    """Selects targets for jobs and tracks their latency and health.

    ``fleet`` holds the targets, ``refusals`` tells which of them have just
    refused requests.

    Args:
        context: The location of this host and the age of its peer data.
        fleet: The targets.
        loads: Requests in flight at the targets.
        settings: Settings of the policies.
        clock: Returns the current time in seconds.
        source: Random numbers that break ties.

    ``prefix_caches`` is what the engines are believed to cache,
    ``shared_rates`` what all hosts know of their rates.
    """

    def __init__(
        self,
        context: SelectorContext,
        fleet: Fleet,
        loads: LoadTracker,
        settings: TargetSelectorSettings,
        clock: Callable[[], float],
        source: random.Random,
    ) -> None:
        self._zone = context.zone
        self._engine_loads = EngineLoads(
            loads,
            settings.stale_loads,
            context.mean_update_age_s,
        )
        self.fleet = fleet
        self._loads = loads
        self._notices = context.notices
        self._rate_limits = context.notices.rate_limits
        self._rates = settings.rates
        self.shared_rates = context.shared_rates
        self._clock = clock
        self._prompt_placer = PromptPlacer(
            settings.prompts, source, settings.near_choice
        )
        self._target_chooser = TargetChooser(settings.targets, source)
        self._health = HealthTracker(settings.health, source)
        self.refusals = RefusalBackoff(settings.refusals, source)
        self._corrections = LatencyCorrections(settings.corrections)
        self.prefix_caches = PrefixCaches(self.target)

    def select_engines(
        self,
        job: Job,
        profile: EngineProfile,
        avoid: frozenset[str],
        may_prefill: bool = True,
    ) -> PlacementDecision:
        """Select the engines for a job with a prompt.

        Args:
            job: The job.
            profile: The engines of its service.
            avoid: Keys of the targets that are left out.
            may_prefill: Whether another engine may prefill the prompt.
        """
        now = self._clock()
        prompt = job.arrival.prompt
        if prompt is None:
            return self.select_target(job, avoid)
        demand = PromptDemand(
            tokens=prompt.tokens,
            rank=job.rank,
            target_latency_s=job.route.target_latency_s,
            left_s=job.deadline - now,
            is_late=job.is_late,
        )
        # If the limited target to check can't take the request in time, nothing
        # is left out.
        targets = self.fleet.of_service(job.service)
        if not may_prefill:
            avoid |= self.fleet.prefill_engines(job.service)
        beside_due = targets_beside_due(targets, self._rate_limits, avoid)
        for left_out in dict.fromkeys((beside_due, _NOTHING)):
            decision = self._prompt_placer.choose(
                demand,
                self._engine_states(job, prompt, profile, avoid | left_out),
                self.shared_rates.rates(job.service, self._rates),
            )
            if isinstance(decision, Placement):
                return decision
        return with_pauses(
            decision, pause_ends(targets, self._notices, avoid), now
        )

    def select_generator(
        self,
        job: Job,
        profile: EngineProfile,
        avoid: frozenset[str],
    ) -> Target | None:
        """Select the generating engine for a prompt that is prefilled."""
        prompt = job.arrival.prompt
        if prompt is None:
            return None
        engines = tuple(self._engine_states(job, prompt, profile, avoid))
        rates = self.shared_rates.rates(job.service, self._rates)
        name = self._prompt_placer.choose_generator(engines, rates)
        return None if name is None else self.target(name)

    def select_target(
        self, job: Job, avoid: frozenset[str]
    ) -> PlacementDecision:
        """Select the application target for a job, if one is usable."""
        now = self._clock()
        loads = self._loads.total_loads(now)
        targets_by_key = self._application_targets(job, avoid)
        states = [
            TargetState(
                name=key,
                same_zone=target.zone == self._zone,
                slots=target.slots,
                running=loads.get(key, IDLE).running,
                correction=self._corrections.factor(key, now),
            )
            for key, target in targets_by_key.items()
        ]
        name = self._target_chooser.choose(states)
        if name is None:
            targets = self.fleet.of_service(job.service)
            return with_pauses(
                NoEngine(), pause_ends(targets, self._notices, avoid), now
            )
        return Placement(None, name, 0, 0, 0)

    def permit_holders(
        self, service: str, avoid: frozenset[str]
    ) -> frozenset[str]:
        """Return the other hosts that may send to limited targets."""
        return frozenset(
            host
            for target in self.fleet.of_service(service)
            if target.key not in avoid
            and self._notices.accepts_requests(target.key)
            for host in self._rate_limits.holders(target.key)
        )

    def target(self, key: str) -> Target | None:
        """Return the target with a key, or ``None`` if it was removed."""
        identity = key.rpartition('@')[0]
        target = self.fleet.targets_by_identity.get(identity)
        if target is None or target.key != key:
            return None
        return target

    def accepts_requests(self, target: Target, selected_at: float) -> bool:
        """Return whether a target that was selected earlier is still usable.

        If it is limited, requests that waited long would arrive together with
        later ones: their permits have lapsed, and another one is needed.
        """
        known = self.target(target.key)
        if known is None or known.leaving:
            return False
        if not self._notices.accepts_requests(target.key):
            return False
        if self._clock() - selected_at <= PERMIT_LIFETIME_S:
            return True
        return self._rate_limits.take(target.key)

    def record_dispatch(
        self, target: Target, reader: Target | None = None
    ) -> None:
        """Count a request against the limits of its target and its reader.

        If the target is unhealthy, the request probes it.
        """
        for limited in filter(None, (target, reader)):
            self._rate_limits.take(limited.key)
        self._health.start_probe(target.key, self._clock())

    def observe_latency(self, target: Target, dispatch: Dispatch) -> None:
        """Update the target's latency correction with a measured time."""
        now = self._clock()
        self.shared_rates.observe(target, dispatch, self._rates, now)
        self._corrections.observe(
            target.key,
            dispatch.expected_s,
            now - dispatch.sent_at,
            now,
        )

    def observe(self, target: Target, observation: Observation) -> None:
        """Update the target's health with the result of a call."""
        self._health.observe(target.key, observation, self._clock())

    def remove_target(self, target: str) -> None:
        """Remove the state of a target that no longer exists."""
        self._corrections.remove(target)
        self.shared_rates.remove(target)
        self._health.remove(target)
        self.refusals.remove(target)
        self.prefix_caches.remove_target(target)

    def _loads_ahead(
        self,
        job: Job,
        targets_by_key: Mapping[str, Target],
        corrections_by_key: Mapping[str, float],
        now: float,
    ) -> dict[str, PresentLoad]:
        rates = self.shared_rates.rates(job.service, self._rates)
        rates_by_key = {
            key: _rate_of(target, rates) / corrections_by_key[key]
            for key, target in targets_by_key.items()
        }
        return self._engine_loads.ahead_of(
            job.rank, targets_by_key, rates_by_key, now
        )

    def _factors(
        self, service: str, keys: Iterable[str], now: float
    ) -> dict[str, float]:
        """Return the ratio of each engine's times to the estimated ones."""
        shared = self.shared_rates.factors(service, now)
        if shared is not None:
            return {key: shared.get(key, 1) for key in keys}
        return {key: self._corrections.factor(key, now) for key in keys}

    def _application_targets(
        self, job: Job, avoid: frozenset[str]
    ) -> dict[str, Target]:
        targets = self.fleet.of_service(job.service)
        beside_due = targets_beside_due(targets, self._rate_limits, avoid)
        checked = self._usable_targets(job.service, avoid | beside_due)
        return checked or self._usable_targets(job.service, avoid)

    def _usable_targets(
        self,
        service: str,
        avoid: frozenset[str],
    ) -> dict[str, Target]:
        listed = ((one.key, one) for one in self.fleet.of_service(service))
        targets_by_key = {
            key: target
            for key, target in listed
            if self._notices.accepts_requests(key)
            and self._rate_limits.accepts_request(key)
        }
        now = self._clock()
        names = [key for key in targets_by_key if key not in avoid]
        availability = self._health.availability(names, now)
        usable = list(availability.usable)
        usable.extend(availability.probes)
        return {key: targets_by_key[key] for key in usable}

    def _engine_states(
        self,
        job: Job,
        prompt: Prompt,
        profile: EngineProfile,
        avoid: frozenset[str],
    ) -> Iterator[EngineState]:
        now = self._clock()
        targets_by_key = self._usable_targets(job.service, avoid)
        corrections_by_key = self._factors(job.service, targets_by_key, now)
        loads = self._loads_ahead(job, targets_by_key, corrections_by_key, now)
        self._prompt_placer.age_s = self._engine_loads.mean_update_age_s()
        prefix_caches = self.prefix_caches.of_service(
            job.service, profile.kv_tokens
        )
        homes = _home_engines(prompt, tuple(targets_by_key.values()))
        for key, target in targets_by_key.items():
            yield EngineState(
                name=key,
                same_zone=target.zone == self._zone,
                prefill_only=target.stage is Stage.PREFILL,
                slots=target.slots,
                running=loads[key].running,
                queued_tokens=loads[key].queued_tokens,
                cached_tokens=prefix_caches.cached_tokens(key, prompt.parts),
                is_home=key in homes,
                correction=corrections_by_key[key],
            )


def _rate_of(engine: Target, rates: EngineRates) -> float:
    if engine.stage is Stage.PREFILL:
        return rates.prefill_only_tokens_per_s
    return rates.generating_tokens_per_s


def _home_engines(
    prompt: Prompt, engines: tuple[Target, ...]
) -> frozenset[str]:
    """Return the home of a prompt among the engines of each stage."""
    readers = [engine for engine in engines if engine.stage is Stage.PREFILL]
    generators = [
        engine for engine in engines if engine.stage is not Stage.PREFILL
    ]
    homes = (
        home_engine(prompt.parts, readers),
        home_engine(prompt.parts, generators),
    )
    return frozenset(home for home in homes if home is not None)


__all__ = [
    'NoEngine',
    'Placement',
    'PlacementDecision',
    'PrefixCacheIndex',
    'SelectorContext',
    'SharedRates',
    'TargetSelector',
    'TargetSelectorSettings',
    'TooBusy',
    'even_load_settings',
    'home_engine',
]
