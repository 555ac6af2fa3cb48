"""Targets: the engines and application servers that run requests."""

import dataclasses
import enum
import math
from collections.abc import Iterable, Mapping

import xxhash

from .list_reads import ListReads

CHANGES_KEPT_S = 10  # well beyond the time for which they are sent


class Stage(enum.Enum):
    """Whether a model engine only prefills prompts or also generates."""

    PREFILL = 'prefill'
    DECODE = 'decode'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target as described by its last entry in the store.

    Args:
        identity: Unique among live targets.
        born_ms: Start time in Unix milliseconds. A restart changes it and
            loses the state of the target.
        service: The service that it belongs to.
        address: IP address and port.
        zone: Its availability zone.
        slots: Requests that it runs concurrently.
        leaving: Whether it accepts no new requests.
        reclaimable: Whether the provider may reclaim it at short notice.
        stage: ``None`` for an application target.
        weights_version: Version of its model's weights.
        software_version: Version of its software. Streams of two versions
            don't fit together.
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
    software_version: str = ''

    @property
    def key(self) -> str:
        """Identifies one incarnation of the target."""
        return f'{self.identity}@{self.born_ms}'


@dataclasses.dataclass(frozen=True, slots=True)
class FleetChange:
    """Targets that appeared, disappeared or started to leave in one read."""

    came: tuple[Target, ...]
    gone: tuple[Target, ...]
    leaving: tuple[Target, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChange:
    """The new state of a target; ``None`` if it was removed."""

    identity: str
    target: Target | None


class Fleet:
    """The known targets, from complete reads of the list in the store.

    During a store outage, entries of live targets may expire. After an
    outage, missing targets are therefore removed only once the list has been
    readable for ``return_grace_s``. ``reads`` says when the list was read.
    """

    def __init__(self, return_grace_s: float, outage_s: float) -> None:
        self.return_grace_s = return_grace_s
        self.reads = ListReads(outage_s)
        self._removals_blocked_until = -math.inf
        self._targets_by_identity: dict[str, Target] = {}
        self._changed_at_by_identity: dict[str, float] = {}
        self._gone_at_by_version: dict[tuple[str, str], float] = {}
        self.digest = 0

    @property
    def read_at(self) -> float:
        """When the list was last read or confirmed."""
        return self.reads.read_at

    def confirm(self, at: float) -> None:
        """Record that the list was unchanged at a time."""
        if math.isfinite(self.read_at):
            self.reads.record(at)

    def keep_missing(self, now: float) -> None:
        """Keep missing targets for a while, as after an outage.

        To be called before the first read of a restored store, which may lack
        entries of live targets.
        """
        self._removals_blocked_until = now + self.return_grace_s

    def replace(self, found: Iterable[Target], now: float) -> FleetChange:
        """Replace the list by a complete read of this host at ``now``."""
        change = self._replace(found, now)
        self.reads.record_listed(now)
        return change

    def changes_since(self, instant: float) -> tuple[TargetChange, ...]:
        """Return the targets that have changed since a time.

        Changes are kept for ``CHANGES_KEPT_S``.
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
        """Apply the changes of another host's list.

        Args:
            changes: Changes of the other host's list.
            digest: Digest of its whole list.
            now: When it read the list.

        Returns:
            The change of this list, or ``None`` if nothing was applied
            because the lists would still differ.
        """
        found_by_identity = dict(self._targets_by_identity)
        for change in changes:
            if change.target is None:
                found_by_identity.pop(change.identity, None)
            else:
                found_by_identity[change.identity] = change.target
        found = tuple(found_by_identity.values())
        if now < self._removals_blocked_until or _digest(found) != digest:
            return None
        return self._replace(found, now)

    @property
    def targets_by_identity(self) -> Mapping[str, Target]:
        """All targets, including those that are leaving."""
        return self._targets_by_identity

    def keys(self) -> frozenset[str]:
        """Return the keys of all targets."""
        return frozenset(
            target.key for target in self._targets_by_identity.values()
        )

    def services(self) -> frozenset[str]:
        """Return the names of the services that have targets."""
        return frozenset(
            target.service for target in self._targets_by_identity.values()
        )

    def of_service(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service that accept new requests."""
        return tuple(
            target
            for target in self._targets_by_identity.values()
            if target.service == service and not target.leaving
        )

    def prefill_engines(self, service: str) -> frozenset[str]:
        """Return the keys of the engines that only prefill prompts."""
        return frozenset(
            target.key
            for target in self.of_service(service)
            if target.stage is Stage.PREFILL
        )

    def versions_since(self, service: str, instant: float) -> frozenset[str]:
        """Return the software versions of a service's targets since a time."""
        versions = {
            target.software_version
            for target in self._targets_by_identity.values()
            if target.service == service
        }
        versions.update(
            version
            for (named, version), gone_at in self._gone_at_by_version.items()
            if named == service and gone_at >= instant
        )
        return frozenset(versions)

    def _replace(self, found: Iterable[Target], now: float) -> FleetChange:
        if math.isfinite(self.read_at) and self.reads.is_outage(now):
            self._removals_blocked_until = now + self.return_grace_s
        self.reads.record(now)
        found_by_identity = {target.identity: target for target in found}
        change = self._compare(found_by_identity, now)
        for gone in change.gone:
            self._targets_by_identity.pop(gone.identity)
        self._record_versions(change, now)
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

    def _record_versions(self, change: FleetChange, now: float) -> None:
        """Record when targets of a version were last replaced or removed."""
        replaced = (
            self._targets_by_identity.get(came.identity) for came in change.came
        )
        for target in (*change.gone, *filter(None, replaced)):
            version = target.service, target.software_version
            self._gone_at_by_version[version] = now

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
            gone=() if now < self._removals_blocked_until else missing,
            leaving=tuple(
                target
                for identity, target in found_by_identity.items()
                if target.leaving
                and identity in known
                and not known[identity].leaving
            ),
        )


def _digest(targets: Iterable[Target]) -> int:
    """Return an order-independent digest of a list of targets."""
    digest = 0
    for target in targets:
        digest ^= xxhash.xxh3_64_intdigest(
            f'{target.key} {target.address} {target.leaving}'.encode(),
        )
    return digest
