"""The targets that a daemon knows, and what it has running on each."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import TypeAlias

from geranium_model import (
    ApplicationService,
    Backend,
    Configuration,
    Engine,
    ModelService,
    Target,
    TargetState,
)
from geranium_policy import EngineView

from ..platform import ListedTarget


@dataclasses.dataclass(slots=True)
class TargetLink:
    """An application target as this daemon sees it.

    ``running`` counts the calls that this daemon has on it.
    """

    target: Target
    running: int = 0
    last_error: str = ''

    @property
    def name(self) -> str:
        """The target's name."""
        return self.target.name


@dataclasses.dataclass(slots=True)
class EngineLink:
    """An engine as this daemon sees it.

    ``view`` is what routing knows of it. ``instance`` names the engine's
    process as its last report did, so that one crash is told from the next.
    ``reservations`` counts the suspects that want it for themselves here;
    ``reserved_by_peers`` tells the same of the peers.
    """

    target: Engine
    view: EngineView
    running: int = 0
    last_error: str = ''
    instance: str = ''
    cache_seq: int = 0
    reservations: int = 0
    reserved_by_peers: bool = False

    @property
    def is_reserved(self) -> bool:
        """Whether a suspect runs or is about to run on it alone."""
        return bool(self.reservations) or self.reserved_by_peers

    @property
    def name(self) -> str:
        """The engine's name."""
        return self.target.name


Link: TypeAlias = TargetLink | EngineLink


class Fleet:
    """All targets by name, from the configuration and the platform's list.

    A target that the list calls leaving gets no new calls.
    """

    def __init__(self) -> None:
        self.links_by_name: dict[str, Link] = {}
        self._configuration = Configuration()
        self._listed_by_name: dict[str, ListedTarget] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Take over the targets of a configuration."""
        self._configuration = configuration
        self._reconcile()

    def apply_listing(self, listing: tuple[ListedTarget, ...]) -> None:
        """Take over the platform's list of targets."""
        self._listed_by_name = {row.name: row for row in listing}
        self._reconcile()

    def engines(self, service: str) -> tuple[EngineLink, ...]:
        """Return the links to a service's live engines."""
        return tuple(
            link for link in self._live(service) if isinstance(link, EngineLink)
        )

    def application_targets(self, service: str) -> tuple[TargetLink, ...]:
        """Return the links to a service's live application targets."""
        return tuple(
            link for link in self._live(service) if isinstance(link, TargetLink)
        )

    def engine_links(self) -> tuple[EngineLink, ...]:
        """Return the links to all engines, those that leave included."""
        return tuple(
            link
            for link in self.links_by_name.values()
            if isinstance(link, EngineLink)
        )

    def _live(self, service: str) -> Iterator[Link]:
        cordoned = self._configuration.cordoned_zones
        for link in self.links_by_name.values():
            target = link.target
            if target.service != service or target.zone in cordoned:
                continue
            if target.state is TargetState.LIVE:
                yield link

    def _reconcile(self) -> None:
        wanted = self._merge()
        for name in self.links_by_name.keys() - wanted.keys():
            self.links_by_name.pop(name)
        for name, target in wanted.items():
            link = self.links_by_name.get(name)
            if link is None or link.target.address != target.address:
                self.links_by_name[name] = _open_link(target)
            else:
                _update_link(link, target)

    def _merge(self) -> Mapping[str, Backend]:
        merged: dict[str, Backend] = {}
        for name, target in self._configuration.targets_by_name.items():
            row = self._listed_by_name.get(name)
            if row is not None:
                target = dataclasses.replace(target, state=row.state)
            merged[name] = target
        for row in self._listed_by_name.values():
            if row.name not in merged:
                merged.update(self._ordered(row))
        return merged

    def _ordered(self, row: ListedTarget) -> Mapping[str, Backend]:
        match self._configuration.services_by_name.get(row.service):
            case ModelService():
                engine = Engine(**dataclasses.asdict(row))
                return {row.name: engine}
            case ApplicationService():
                return {row.name: Target(**dataclasses.asdict(row))}
        return {}


def _open_link(target: Backend) -> Link:
    match target:
        case Engine():
            return EngineLink(target, EngineView(target))
        case Target():
            return TargetLink(target)


def _update_link(link: Link, target: Backend) -> None:
    match link, target:
        case EngineLink(), Engine():
            link.target = target
            link.view.engine = target
        case TargetLink(), Target():
            link.target = target
