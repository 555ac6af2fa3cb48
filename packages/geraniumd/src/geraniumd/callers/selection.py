"""Chooses the target for each attempt, leaving out those that fail."""

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

from ..state import EngineLink, Fleet, Link, TargetLink

_Link = TypeVar('_Link', EngineLink, TargetLink)


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """The engine for an attempt, and what was weighed."""

    link: EngineLink
    choice: EngineChoice


class TargetSelector:
    """Chooses among the targets of a service."""

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

    def choose_engine(
        self,
        profile: RequestProfile,
        excluded: Collection[str],
    ) -> Selection | None:
        """Return the engine for a request, ``None`` where there is none.

        Excluded engines are taken only if there are no others.
        """
        engines = self._fleet.engines(profile.service)
        shared = [link for link in engines if not link.is_reserved]
        links = self._usable(shared or engines, excluded)
        links_by_name = {link.name: link for link in links}
        choice = self._router.choose(
            profile,
            [link.view for link in links],
            self._clock.now(),
        )
        if choice is None:
            return None
        return Selection(links_by_name[choice.engine.name], choice)

    def choose_only(
        self,
        profile: RequestProfile,
        link: EngineLink,
    ) -> Selection | None:
        """Return the given engine for a request, if it accepts any."""
        choice = self._router.choose(profile, [link.view], self._clock.now())
        return None if choice is None else Selection(link, choice)

    def choose_target(
        self,
        service: str,
        excluded: Collection[str],
    ) -> TargetLink | None:
        """Return the application target with the fewest calls from here."""
        targets = self._fleet.application_targets(service)
        links = self._usable(targets, excluded)
        self._rng.shuffle(links)
        return min(links, key=_running, default=None)

    def _usable(
        self,
        links: Sequence[_Link],
        excluded: Collection[str],
    ) -> list[_Link]:
        now = self._clock.now()
        names = [link.name for link in links]
        availability = self.health.availability(names, now)
        for probe in availability.probes:
            if probe not in excluded:
                self.health.start_probe(probe, now)
                return [link for link in links if link.name == probe]
        usable = [link for link in links if link.name in availability.usable]
        preferred = [link for link in usable if link.name not in excluded]
        return preferred or usable


def _running(link: Link) -> int:
    return link.running
