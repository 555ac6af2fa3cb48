"""The targets known to a daemon and its running calls on each."""

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
    """A daemon's entry for an application target.

    ``running`` counts this daemon's running calls on the target.
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
    """A daemon's entry for an engine.

    ``view`` is the engine's state as used for routing. ``instance`` is the
    process id from the engine's last report and distinguishes successive
    crashes, ``version`` is that of its model in the same report.
    ``reservations`` counts this daemon's suspects that run or wait to
    run alone on it. ``reserved_by_peers`` is true if a peer has reserved it.
    """

    target: Engine
    view: EngineView
    running: int = 0
    last_error: str = ''
    instance: str = ''
    version: str = ''
    cache_seq: int = 0
    reservations: int = 0
    reserved_by_peers: bool = False

    @property
    def is_reserved(self) -> bool:
        """Whether a suspect runs or is about to run alone on the engine."""
        return bool(self.reservations) or self.reserved_by_peers

    @property
    def name(self) -> str:
        """The engine's name."""
        return self.target.name


FleetEntry: TypeAlias = TargetEntry | EngineEntry


class Fleet:
    """All targets by name, from the configuration and the platform's list.

    A target whose state in the list is ``leaving`` receives no new calls.
    """

    def __init__(self) -> None:
        self.entries_by_name: dict[str, FleetEntry] = {}
        self._configuration = Configuration()
        self._listed_by_name: dict[str, ListedTarget] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Replace the configured targets."""
        self._configuration = configuration
        self._reconcile()

    def apply_listing(self, listing: tuple[ListedTarget, ...]) -> None:
        """Replace the targets listed by the platform."""
        self._listed_by_name = {row.name: row for row in listing}
        self._reconcile()

    def engines(self, service: str) -> tuple[EngineEntry, ...]:
        """Return the entries of a service's live engines."""
        return tuple(
            entry
            for entry in self._live(service)
            if isinstance(entry, EngineEntry)
        )

    def application_targets(self, service: str) -> tuple[TargetEntry, ...]:
        """Return the entries of a service's live application targets."""
        return tuple(
            entry
            for entry in self._live(service)
            if isinstance(entry, TargetEntry)
        )

    def engine_entries(self) -> tuple[EngineEntry, ...]:
        """Return the entries of all engines, including leaving ones."""
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
        wanted = self._merge_sources()
        for name in self.entries_by_name.keys() - wanted.keys():
            self.entries_by_name.pop(name)
        for name, target in wanted.items():
            entry = self.entries_by_name.get(name)
            if entry is None or entry.target.address != target.address:
                self.entries_by_name[name] = _create_entry(target)
            else:
                _update_entry(entry, target)

    def _merge_sources(self) -> Mapping[str, Backend]:
        merged: dict[str, Backend] = {}
        for name, target in self._configuration.targets_by_name.items():
            row = self._listed_by_name.get(name)
            if row is not None:
                target = dataclasses.replace(target, state=row.state)
            merged[name] = target
        for row in self._listed_by_name.values():
            if row.name not in merged:
                merged.update(self._from_listing(row))
        return merged

    def _from_listing(self, row: ListedTarget) -> Mapping[str, Backend]:
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
