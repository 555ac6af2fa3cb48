"""Targets: the engines and application servers that run requests."""

import dataclasses
import enum
import math
from collections.abc import Iterable, Mapping

import xxhash

CHANGES_KEPT_S = 10  # well beyond the time for which they are told


class Stage(enum.Enum):
    """What a model engine does: read prompts, or generate as well."""

    PREFILL = 'prefill'
    DECODE = 'decode'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target as it last described itself.

    Args:
        identity: Unique among the targets that live.
        born_ms: Unix milliseconds of its start; a restart changes it and
            loses all that the target held.
        service: The service that it belongs to.
        address: IP address and port.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        leaving: Whether it takes no new requests.
        reclaimable: Whether it may be taken away at short notice.
        stage: ``None`` for an application target.
        weights_version: Version of its model's weights.
    """

    identity: str
    born_ms: int
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    reclaimable: bool
    stage: Stage | None
    weights_version: int | None

    @property
    def key(self) -> str:
        """Identifies one incarnation of the target."""
        return f'{self.identity}@{self.born_ms}'


@dataclasses.dataclass(frozen=True, slots=True)
class FleetChange:
    """Targets that came, went, and began to leave with one reading."""

    came: tuple[Target, ...]
    gone: tuple[Target, ...]
    leaving: tuple[Target, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChange:
    """What became of a target; ``None`` if it is gone."""

    identity: str
    target: Target | None


class Fleet:
    """The targets that may be used, from complete readings of the list.

    After a time in which the list could not be read, entries that are
    missing may have lapsed meanwhile: they count as gone only once the list
    has been readable for ``return_grace_s``.
    """

    def __init__(self, return_grace_s: float, outage_s: float) -> None:
        self.return_grace_s = return_grace_s
        self._outage_s = outage_s
        self._read_at: float | None = None
        self._doubtful_until = -math.inf
        self._targets_by_identity: dict[str, Target] = {}
        self._changed_at_by_identity: dict[str, float] = {}
        self.digest = 0

    @property
    def read_at(self) -> float:
        """When the list was last read or confirmed."""
        return -math.inf if self._read_at is None else self._read_at

    def confirm(self, at: float) -> None:
        """Note that the list stood as it is known at an instant."""
        if self._read_at is not None:
            self._read_at = max(self._read_at, at)

    def replace(self, found: Iterable[Target], now: float) -> FleetChange:
        """Take in a complete reading of the list made at an instant."""
        self._record_outage(now)
        found_by_identity = {target.identity: target for target in found}
        change = self._compare(found_by_identity, now)
        for gone in change.gone:
            self._targets_by_identity.pop(gone.identity)
        self._targets_by_identity.update(found_by_identity)
        changed = (*change.came, *change.gone, *change.leaving)
        self._changed_at_by_identity = {
            identity: at
            for identity, at in self._changed_at_by_identity.items()
            if at > now - CHANGES_KEPT_S
        }
        for target in changed:
            self._changed_at_by_identity[target.identity] = now
        if changed:
            self.digest = _digest(self._targets_by_identity.values())
        return change

    def changes_since(self, instant: float) -> tuple[TargetChange, ...]:
        """Return what became of the targets that changed since then.

        Changes are known for ``CHANGES_KEPT_S``.
        """
        return tuple(
            TargetChange(identity, self._targets_by_identity.get(identity))
            for identity, at in self._changed_at_by_identity.items()
            if at >= instant
        )

    def apply_changes(
        self,
        changes: Iterable[TargetChange],
        digest: int,
        now: float,
    ) -> FleetChange | None:
        """Take in what another host has read of the list.

        Args:
            changes: What has changed in the other host's list.
            digest: Stands for its whole list.
            now: When it read the list.

        Returns:
            The change of this list, ``None`` if the lists would still differ
            and nothing was changed.
        """
        found_by_identity = dict(self._targets_by_identity)
        for change in changes:
            if change.target is None:
                found_by_identity.pop(change.identity, None)
            else:
                found_by_identity[change.identity] = change.target
        found = tuple(found_by_identity.values())
        if now < self._doubtful_until or _digest(found) != digest:
            return None
        return self.replace(found, now)

    @property
    def targets_by_identity(self) -> Mapping[str, Target]:
        """All targets, those that are leaving included."""
        return self._targets_by_identity

    def of_service(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service that take new requests."""
        return tuple(
            target
            for target in self._targets_by_identity.values()
            if target.service == service and not target.leaving
        )

    def _record_outage(self, now: float) -> None:
        last = self._read_at
        self._read_at = now
        if last is not None and now - last > self._outage_s:
            self._doubtful_until = now + self.return_grace_s

    def _compare(
        self,
        found_by_identity: Mapping[str, Target],
        now: float,
    ) -> FleetChange:
        known = self._targets_by_identity
        missing = tuple(
            target
            for identity, target in known.items()
            if identity not in found_by_identity
        )
        return FleetChange(
            came=tuple(
                target
                for identity, target in found_by_identity.items()
                if identity not in known or known[identity].key != target.key
            ),
            gone=() if now < self._doubtful_until else missing,
            leaving=tuple(
                target
                for identity, target in found_by_identity.items()
                if target.leaving
                and identity in known
                and not known[identity].leaving
            ),
        )


def _digest(targets: Iterable[Target]) -> int:
    """Return a number that stands for a list of targets in any order."""
    digest = 0
    for target in targets:
        digest ^= xxhash.xxh3_64_intdigest(
            f'{target.key} {target.address} {target.leaving}'.encode(),
        )
    return digest
