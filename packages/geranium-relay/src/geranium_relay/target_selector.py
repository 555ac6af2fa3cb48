"""Brings what is known of targets before the placement policies."""

import dataclasses
import random
from collections.abc import Callable, Iterator

from geranium_policy.engine_rates import (
    CorrectionSettings,
    EngineRates,
    LatencyCorrections,
)
from geranium_policy.health import HealthSettings, HealthTracker, Observation
from geranium_policy.prompt_placement import (
    EngineState,
    NoEngine,
    Placement,
    PlacementDecision,
    PromptDemand,
    PromptPlacementSettings,
    PromptPlacer,
    TooBusy,
)
from geranium_policy.stale_loads import StaleLoadSettings
from geranium_policy.target_choice import (
    TargetChoiceSettings,
    TargetChooser,
    TargetState,
)

from .catalogue import EngineProfile
from .engine_loads import EngineLoads
from .load_tracker import IDLE, Dispatch, LoadTracker
from .messages import Job, Prompt, PromptPart
from .prefix_cache_index import PrefixCacheIndex, home_engine
from .targets import Fleet, Stage, Target


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSelectorSettings:
    """Settings of the policies that choose targets."""

    prompts: PromptPlacementSettings = dataclasses.field(
        default_factory=PromptPlacementSettings,
    )
    targets: TargetChoiceSettings = dataclasses.field(
        default_factory=TargetChoiceSettings,
    )
    corrections: CorrectionSettings = dataclasses.field(
        default_factory=CorrectionSettings,
    )
    health: HealthSettings = dataclasses.field(
        default_factory=HealthSettings,
    )
    stale_loads: StaleLoadSettings = dataclasses.field(
        default_factory=StaleLoadSettings,
    )
    rates: EngineRates = dataclasses.field(
        default_factory=EngineRates,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class SelectorContext:
    """A host's place among the others.

    Args:
        zone: Its zone.
        mean_update_age_s: Returns the mean age of what it knows of others' loads.
    """

    zone: str
    mean_update_age_s: Callable[[], float]


class TargetSelector:
    """Chooses targets for jobs and learns from how they went.

    Args:
        context: This host's place among the others.
        fleet: The targets.
        loads: What is under way at them.
        settings: Settings of the policies.
        clock: The clock of all instants.
        source: Breaks ties.
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
        self._fleet = fleet
        self._loads = loads
        self._rates = settings.rates
        self._clock = clock
        self._placer = PromptPlacer(settings.prompts, source)
        self._chooser = TargetChooser(settings.targets, source)
        self._health = HealthTracker(settings.health, source)
        self._corrections = LatencyCorrections(settings.corrections)
        self._caches_by_service: dict[str, PrefixCacheIndex] = {}

    def place_prompt(
        self,
        job: Job,
        profile: EngineProfile,
        avoid: frozenset[str],
    ) -> PlacementDecision:
        """Return where a job with a prompt goes."""
        now = self._clock()
        prompt = job.arrival.prompt
        if prompt is None:
            return self.place_call(job, avoid)
        engines = tuple(self._states(job, prompt, profile, avoid))
        demand = PromptDemand(
            tokens=prompt.tokens,
            rank=job.rank,
            target_latency_s=job.route.target_latency_s,
            left_s=job.deadline - now,
            is_late=job.is_late,
        )
        return self._placer.choose(demand, engines, self._rates)

    def place_read_prompt(
        self,
        job: Job,
        profile: EngineProfile,
        avoid: frozenset[str],
    ) -> Target | None:
        """Return where a prompt that has been read goes now."""
        prompt = job.arrival.prompt
        if prompt is None:
            return None
        engines = tuple(self._states(job, prompt, profile, avoid))
        name = self._placer.choose_generator(engines, self._rates)
        return None if name is None else self.target(name)

    def place_call(self, job: Job, avoid: frozenset[str]) -> PlacementDecision:
        """Return the application target for a job, if there is one."""
        now = self._clock()
        loads = self._loads.total_loads(now)
        targets_by_key = self._usable(job.service, avoid)
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
        name = self._chooser.choose(states)
        return NoEngine() if name is None else Placement(None, name, 0, 0, 0)

    def target(self, key: str) -> Target | None:
        """Return the target with a key, ``None`` once it is gone."""
        identity = key.rpartition('@')[0]
        target = self._fleet.targets_by_identity.get(identity)
        if target is None or target.key != key:
            return None
        return target

    def takes_requests(self, target: Target) -> bool:
        """Say whether a target that was chosen earlier may still be used."""
        known = self.target(target.key)
        return known is not None and not known.leaving

    def record_dispatch(self, target: Target) -> None:
        """Note that a target that was set aside is being tried."""
        self._health.start_probe(target.key, self._clock())

    def observe_latency(self, target: Target, dispatch: Dispatch) -> None:
        """Take in how long a target took where an estimate stood."""
        now = self._clock()
        self._corrections.observe(
            target.key,
            dispatch.expected_s,
            now - dispatch.sent_at,
            now,
        )

    def observe(self, target: Target, observation: Observation) -> None:
        """Take in how a call went."""
        self._health.observe(target.key, observation, self._clock())

    def record_prompt(self, service: str, target: str, prompt: Prompt) -> None:
        """Believe that a target keeps a prompt from now on."""
        prefix_caches = self._caches_by_service.get(service)
        if prefix_caches is not None:
            prefix_caches.add(target, prompt.parts)

    def record_cached_parts(
        self, target: str, parts: tuple[PromptPart, ...]
    ) -> None:
        """Believe that a target keeps parts that a peer sent there."""
        found = self.target(target)
        if found is None:
            return
        prefix_caches = self._caches_by_service.get(found.service)
        if prefix_caches is not None:
            prefix_caches.add(target, parts)

    def remove_target(self, target: str) -> None:
        """Drop what is known of a target that is gone."""
        self._corrections.remove(target)
        self._health.remove(target)
        for prefix_caches in self._caches_by_service.values():
            prefix_caches.remove_target(target)

    def prefix_caches(
        self, service: str, profile: EngineProfile
    ) -> PrefixCacheIndex:
        """Return the beliefs on a service's engines."""
        prefix_caches = self._caches_by_service.get(service)
        if prefix_caches is None:
            prefix_caches = PrefixCacheIndex(profile.kv_tokens)
            self._caches_by_service[service] = prefix_caches
        return prefix_caches

    def _usable(
        self,
        service: str,
        avoid: frozenset[str],
    ) -> dict[str, Target]:
        targets_by_key = {
            target.key: target for target in self._fleet.of_service(service)
        }
        now = self._clock()
        names = [key for key in targets_by_key if key not in avoid]
        availability = self._health.availability(names, now)
        usable = list(availability.usable)
        usable.extend(availability.probes)
        return {key: targets_by_key[key] for key in usable}

    def _states(
        self,
        job: Job,
        prompt: Prompt,
        profile: EngineProfile,
        avoid: frozenset[str],
    ) -> Iterator[EngineState]:
        now = self._clock()
        targets_by_key = self._usable(job.service, avoid)
        loads = self._engine_loads.ahead_of(job.rank, targets_by_key, now)
        prefix_caches = self.prefix_caches(job.service, profile)
        homes = self._homes(prompt, tuple(targets_by_key.values()))
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
                correction=self._corrections.factor(key, now),
            )

    def _homes(
        self,
        prompt: Prompt,
        engines: tuple[Target, ...],
    ) -> frozenset[str]:
        readers = [one for one in engines if one.stage is Stage.PREFILL]
        others = [one for one in engines if one.stage is not Stage.PREFILL]
        homes = (
            home_engine(prompt.parts, readers),
            home_engine(prompt.parts, others),
        )
        return frozenset(home for home in homes if home is not None)


__all__ = [
    'NoEngine',
    'Placement',
    'TargetSelector',
    'TargetSelectorSettings',
    'TooBusy',
]
