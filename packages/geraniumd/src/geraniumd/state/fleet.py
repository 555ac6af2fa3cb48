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
class TargetEntry:
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
class EngineEntry:
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


FleetEntry: TypeAlias = TargetEntry | EngineEntry


class Fleet:
    """All targets by name, from the configuration and the platform's list.

    A target that the list calls leaving gets no new calls.
    """

    def __init__(self) -> None:
        self.entries_by_name: dict[str, FleetEntry] = {}
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

    def engines(self, service: str) -> tuple[EngineEntry, ...]:
        """Return the entries to a service's live engines."""
        return tuple(
            entry
            for entry in self._live(service)
            if isinstance(entry, EngineEntry)
        )

    def application_targets(self, service: str) -> tuple[TargetEntry, ...]:
        """Return the entries to a service's live application targets."""
        return tuple(
            entry
            for entry in self._live(service)
            if isinstance(entry, TargetEntry)
        )

    def engine_entries(self) -> tuple[EngineEntry, ...]:
        """Return the entries to all engines, those that leave included."""
        return tuple(
            entry
            for entry in self.entries_by_name.values()
            if isinstance(entry, EngineEntry)
        )

    def _live(self, service: str) -> Iterator[FleetEntry]:
        cordoned = self._configuration.cordoned_zones
        for entry in self.entries_by_name.values():
            target = entry.target
            if target.service != service or target.zone in cordoned:
                continue
            if target.state is TargetState.LIVE:
                yield entry

    def _reconcile(self) -> None:
        wanted = self._merge()
        for name in self.entries_by_name.keys() - wanted.keys():
            self.entries_by_name.pop(name)
        for name, target in wanted.items():
            entry = self.entries_by_name.get(name)
            if entry is None or entry.target.address != target.address:
                self.entries_by_name[name] = _create_entry(target)
            else:
                _update_entry(entry, target)

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


def _create_entry(target: Backend) -> FleetEntry:
    match target:
        case Engine():
            return EngineEntry(target, EngineView(target))
        case Target():
            return TargetEntry(target)


def _update_entry(entry: FleetEntry, target: Backend) -> None:
    match entry, target:
        case EngineEntry(), Engine():
            entry.target = target
            entry.view.engine = target
        case TargetEntry(), Target():
            entry.target = target
