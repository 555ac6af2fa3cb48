"""Until when a replica may rely on its version being the newest."""

import dataclasses
from collections.abc import Iterable
from typing import TypeAlias

from .configuration_changes import PendingWithdrawal


@dataclasses.dataclass(frozen=True, slots=True)
class Fresh:
    """Keyed requests may be admitted until this instant."""

    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """Keyed requests must be refused.

    ``since`` is the instant at which the last confirmation ran out,
    ``None`` if there was none.
    """

    since: float | None


Admission: TypeAlias = Fresh | Stale


@dataclasses.dataclass(frozen=True, slots=True)
class HeldWithdrawal:
    """A pending withdrawal as one host tells another, with its age."""

    pending: PendingWithdrawal
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessReport:
    """What a host answers when a peer asks for its configuration's state.

    Args:
        host: The host that answers.
        version: The version that it has in force.
        store_age_s: Time since the store was known to hold no newer one.
        quorum_age_s: Time since most voters were known to hold no newer
            one and to know of no withdrawal that is not listed here.
        votes: Whether the host counts as an voter.
        withdrawals: The withdrawals that may be accepted any moment.
    """

    host: str
    version: int
    store_age_s: float | None = None
    quorum_age_s: float | None = None
    votes: bool = False
    withdrawals: tuple[HeldWithdrawal, ...] = ()


class Quorum:
    """Knows when most voters were last heard."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._voters: frozenset[str] = frozenset()
        self._responded_at_by_host: dict[str, float] = {}

    def update_voters(self, voters: Iterable[str]) -> None:
        """Set the hosts whose majority counts."""
        self._voters = frozenset(voters)
        for host in tuple(self._responded_at_by_host):
            if host not in self._voters:
                self._responded_at_by_host.pop(host)

    def record_response(self, host: str, sent_at: float) -> None:
        """Note that a voting voter answered what was asked then."""
        if host in self._voters:
            known = self._responded_at_by_host.get(host, sent_at)
            self._responded_at_by_host[host] = max(known, sent_at)

    def majority_responded_at(self, now: float, votes: bool) -> float | None:
        """Return the latest instant after which a majority answered."""
        instants = [
            instant
            for host, instant in self._responded_at_by_host.items()
            if host != self._host
        ]
        if votes and self._host in self._voters:
            instants.append(now)
        majority = len(self._voters) // 2 + 1
        if len(instants) < majority:
            return None
        return sorted(instants, reverse=True)[majority - 1]


class Confirmations:
    """Instants at which a version was known to be the newest.

    Args:
        host: The name of this host.
        votes_after: Instant from which a confirmation by the store makes the
            host an voter.
    """

    def __init__(self, host: str, votes_after: float) -> None:
        self._votes_after = votes_after
        self._peer_quorum_at: float | None = None
        self.store_at: float | None = None
        self.quorum = Quorum(host)

    @property
    def votes(self) -> bool:
        """Whether no announcement can have been forgotten.

        A restarted host may have forgotten one. By the time that the store
        confirmed its version long enough after the start, whatever was
        announced before is decided and in that version, or never will be.
        """
        return self.store_at is not None and self.store_at > self._votes_after

    def confirm_by_store(self, instant: float) -> None:
        """Note that the store held no newer version at the instant."""
        self.store_at = _latest(self.store_at, instant)

    def confirm_by_quorum(self, instant: float) -> None:
        """Note that a peer heard most voters after the instant."""
        self._peer_quorum_at = _latest(self._peer_quorum_at, instant)

    def quorum_at(self, now: float) -> float | None:
        """Return the latest instant after which most voters answered."""
        responded_at = self.quorum.majority_responded_at(now, self.votes)
        return _latest(responded_at, self._peer_quorum_at)

    def latest_at(self, now: float) -> float | None:
        """Return the latest instant of both kinds."""
        return _latest(self.store_at, self.quorum_at(now))


class PendingWithdrawals:
    """Holds back keys whose withdrawal may be accepted any moment.

    A withdrawal is dropped once a version above its base is in force, or
    once the store is known to have had none at an instant by which the
    change can't be accepted any more.
    """

    def __init__(self, hold_s: float) -> None:
        self._hold_s = hold_s
        self._pending_by_operation_id: dict[str, PendingWithdrawal] = {}
        self._announced_at_by_operation_id: dict[str, float] = {}
        self._held_digests: frozenset[str] = frozenset()

    def __contains__(self, key_digest: str) -> bool:
        """Tell whether the key is held back."""
        return key_digest in self._held_digests

    def hold(self, pending: PendingWithdrawal, announced_at: float) -> None:
        """Hold the keys back from now on."""
        operation_id = pending.operation_id
        known_at = self._announced_at_by_operation_id.get(operation_id)
        known = self._pending_by_operation_id.get(operation_id)
        if known is None or known.base_version < pending.base_version:
            self._pending_by_operation_id[operation_id] = pending
            self._announced_at_by_operation_id[operation_id] = announced_at
        elif known_at is not None and known == pending:
            self._announced_at_by_operation_id[operation_id] = min(
                known_at,
                announced_at,
            )
        self._refresh()

    def drop_decided(self, version: int, confirmed_at: float | None) -> None:
        """Drop what the version in force and the store have decided."""
        for operation_id, pending in tuple(
            self._pending_by_operation_id.items(),
        ):
            announced_at = self._announced_at_by_operation_id[operation_id]
            lapsed = (
                confirmed_at is not None
                and confirmed_at > announced_at + self._hold_s
            )
            if lapsed or version > pending.base_version:
                self._pending_by_operation_id.pop(operation_id)
                self._announced_at_by_operation_id.pop(operation_id)
        self._refresh()

    def reported(self, now: float) -> tuple[HeldWithdrawal, ...]:
        """Return the withdrawals with their ages, for a peer."""
        return tuple(
            HeldWithdrawal(
                pending,
                now - self._announced_at_by_operation_id[operation_id],
            )
            for operation_id, pending in self._pending_by_operation_id.items()
        )

    def _refresh(self) -> None:
        self._held_digests = frozenset(
            digest
            for pending in self._pending_by_operation_id.values()
            for digest in pending.key_digests
        )


def _latest(first: float | None, second: float | None) -> float | None:
    if first is None or second is None:
        return second if first is None else first
    return max(first, second)
