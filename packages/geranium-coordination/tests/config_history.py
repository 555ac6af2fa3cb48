"""Checks histories of writers and replicas of the configuration."""

import dataclasses
import itertools
from collections import defaultdict
from collections.abc import Iterator


@dataclasses.dataclass(frozen=True)
class StoredVersion:
    """A manifest, in the order in which the store accepted it."""

    version: int
    operation_id: str
    teams: frozenset[str]


@dataclasses.dataclass(frozen=True)
class Accepted:
    operation_id: str
    version: int


@dataclasses.dataclass(frozen=True)
class NotMade:
    """The writer got the response that the operation changed nothing."""

    operation_id: str


@dataclasses.dataclass(frozen=True)
class InForce:
    """A process of a host put a version in force."""

    process: str
    version: int
    teams: frozenset[str]


@dataclasses.dataclass
class History:
    stored: list[StoredVersion] = dataclasses.field(default_factory=list)
    seen: list[object] = dataclasses.field(default_factory=list)

    def violations(self) -> list[str]:
        return [
            *self._check_stored(),
            *self._check_outcomes(),
            *self._check_replicas(),
        ]

    def _check_stored(self) -> Iterator[str]:
        for earlier, later in itertools.pairwise(self.stored):
            if later.version != earlier.version + 1:
                yield f'version {later.version} follows {earlier.version}'
            if not later.teams > earlier.teams:
                yield f'version {later.version} loses a change'
        made = [entry.operation_id for entry in self.stored]
        if len(set(made)) < len(made):
            yield f'an operation was made twice: {made}'

    def _check_outcomes(self) -> Iterator[str]:
        versions = {entry.operation_id: entry.version for entry in self.stored}
        for event in self.seen:
            if isinstance(event, Accepted):
                if versions.get(event.operation_id) != event.version:
                    yield f'{event.operation_id} is stored as another version'
            elif isinstance(event, NotMade) and event.operation_id in versions:
                yield f'{event.operation_id} was made although reported otherwise'

    def _check_replicas(self) -> Iterator[str]:
        teams = {entry.version: entry.teams for entry in self.stored}
        highest: dict[str, int] = defaultdict(int)
        for event in self.seen:
            if not isinstance(event, InForce):
                continue
            if event.version <= highest[event.process]:
                yield f'{event.process} went back to {event.version}'
            highest[event.process] = event.version
            if teams.get(event.version) != event.teams:
                yield f'{event.process} differs in version {event.version}'
