"""Selects a healthy target for each attempt."""

import dataclasses
import random
from collections.abc import Collection, Sequence
from typing import TypeVar

from geranium_coordination import Clock
from geranium_policy import (
    EngineChoice,
    HealthSettings,
    HealthTracker,
    RequestProfile,
    Router,
    RouterSettings,
)

from ..state import EngineEntry, Fleet, FleetEntry, TargetEntry

_Entry = TypeVar('_Entry', EngineEntry, TargetEntry)


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """The selected engine and the router's estimates behind the choice."""

    entry: EngineEntry
    choice: EngineChoice


class TargetSelector:
    """Selects among the targets of a service."""

    def __init__(
        self,
        fleet: Fleet,
        router_settings: RouterSettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._router = Router(router_settings)
        self._clock = clock
        self._rng = rng
        self.health = HealthTracker(HealthSettings(), rng)

    def select_engine(
        self,
        profile: RequestProfile,
        excluded: Collection[str],
        version: str | None = None,
    ) -> Selection | None:
        """Select an engine for a request, ``None`` if there is none.

        Excluded engines are selected only if no other is usable. A stream that
        has begun goes on only at an engine with its model's version.
        """
        engines = [
            entry
            for entry in self._fleet.engines(profile.service)
            if version in {None, entry.version}
        ]
        shared = [entry for entry in engines if not entry.is_reserved]
        entries = self._usable(shared or engines, excluded)
        entries_by_name = {entry.name: entry for entry in entries}
        choice = self._router.choose(
            profile,
            [entry.view for entry in entries],
            self._clock.now(),
        )
        if choice is None:
            return None
        return Selection(entries_by_name[choice.engine.name], choice)

    def select_only(
        self,
        profile: RequestProfile,
        entry: EngineEntry,
    ) -> Selection | None:
        """Select the given engine, ``None`` if the router rejects it."""
        choice = self._router.choose(profile, [entry.view], self._clock.now())
        return None if choice is None else Selection(entry, choice)

    def select_target(
        self,
        service: str,
        excluded: Collection[str],
    ) -> TargetEntry | None:
        """Select the target with the fewest running calls of this daemon."""
        targets = self._fleet.application_targets(service)
        entries = self._usable(targets, excluded)
        self._rng.shuffle(entries)
        return min(entries, key=_running, default=None)

    def _usable(
        self,
        entries: Sequence[_Entry],
        excluded: Collection[str],
    ) -> list[_Entry]:
        now = self._clock.now()
        names = [entry.name for entry in entries]
        availability = self.health.availability(names, now)
        for probe in availability.probes:
            if probe not in excluded:
                self.health.start_probe(probe, now)
                return [entry for entry in entries if entry.name == probe]
        usable = [
            entry for entry in entries if entry.name in availability.usable
        ]
        preferred = [entry for entry in usable if entry.name not in excluded]
        return preferred or usable


def _running(entry: FleetEntry) -> int:
    return entry.running
