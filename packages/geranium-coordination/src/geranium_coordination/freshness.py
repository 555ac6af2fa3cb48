"""Determines how long a replica may treat its version as the newest."""

import dataclasses
from collections.abc import Iterable
from typing import TypeAlias

from .configuration_changes import PendingWithdrawal


@dataclasses.dataclass(frozen=True, slots=True)
class Fresh:
    """Requests with a key may be admitted until this instant."""

    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """Requests with a key must be refused.

    ``since`` is the instant at which the last confirmation expired, ``None``
    if there was none.
    """

    since: float | None


Admission: TypeAlias = Fresh | Stale


@dataclasses.dataclass(frozen=True, slots=True)
class HeldWithdrawal:
    """A pending withdrawal with its age, as one host reports it to another."""

    pending: PendingWithdrawal
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessReport:
    """State of a host's configuration, reported to a peer.

    Args:
        host: The reporting host.
        version: The version in force on that host.
        store_age_s: Time since the store was known to hold no newer version.
        quorum_age_s: Time since a majority of the voters was known to hold
            no newer version and no withdrawal that is missing here.
        votes: Whether the host counts as a voter.
        withdrawals: The withdrawals that may be accepted at any moment.
    """

    host: str
    version: int
    store_age_s: float | None = None
    quorum_age_s: float | None = None
    votes: bool = False
    withdrawals: tuple[HeldWithdrawal, ...] = ()


class Quorum:
    """Tracks when a majority of the voters last responded."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._voters: frozenset[str] = frozenset()
        self._responded_at_by_host: dict[str, float] = {}

    def update_voters(self, voters: Iterable[str]) -> None:
        """Replace the set of voters."""
        self._voters = frozenset(voters)
        for host in tuple(self._responded_at_by_host):
            if host not in self._voters:
                self._responded_at_by_host.pop(host)

    def record_response(self, host: str, sent_at: float) -> None:
        """Record that a voter responded to a request sent at the instant."""
        if host in self._voters:
            known = self._responded_at_by_host.get(host, sent_at)
            self._responded_at_by_host[host] = max(known, sent_at)

    def majority_responded_at(self, now: float, votes: bool) -> float | None:
        """Return the latest instant after which a majority responded."""
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
    """Tracks when the version in force was known to be the newest.

    Args:
        host: The name of this host.
        votes_after: Instant after which a confirmation by the store makes
            the host a voter.
    """

    def __init__(self, host: str, votes_after: float) -> None:
        self._votes_after = votes_after
        self._peer_quorum_at: float | None = None
        self.store_at: float | None = None
        self.quorum = Quorum(host)

    @property
    def votes(self) -> bool:
        """Whether this host cannot have lost a withdrawal announcement.

        A restart loses the announcements. Once the store has confirmed a
        version long enough after the start, every earlier announcement is
        either contained in that version or will never be accepted.
        """
        return self.store_at is not None and self.store_at > self._votes_after

    def confirm_by_store(self, instant: float) -> None:
        """Record that the store held no newer version at the instant."""
        self.store_at = _latest(self.store_at, instant)

    def confirm_by_quorum(self, instant: float) -> None:
        """Record that most voters responded to a peer after the instant."""
        self._peer_quorum_at = _latest(self._peer_quorum_at, instant)

    def quorum_at(self, now: float) -> float | None:
        """Return the latest instant after which most voters responded."""
        responded_at = self.quorum.majority_responded_at(now, self.votes)
        return _latest(responded_at, self._peer_quorum_at)

    def latest_at(self, now: float) -> float | None:
        """Return the latest confirmation by the store or by the quorum."""
        return _latest(self.store_at, self.quorum_at(now))


class PendingWithdrawals:
    """Suspends keys whose withdrawal may be accepted at any moment.

    A withdrawal is dropped once a version above its base is in force, or
    once the store is known to have held no such version at an instant at
    which the change could no longer be accepted.
    """

    def __init__(self, hold_s: float) -> None:
        self._hold_s = hold_s
        self._pending_by_operation_id: dict[str, PendingWithdrawal] = {}
        self._announced_at_by_operation_id: dict[str, float] = {}
        self._suspended_digests: frozenset[str] = frozenset()

    def __contains__(self, key_digest: str) -> bool:
        """Return whether the key is suspended."""
        return key_digest in self._suspended_digests

    def hold(self, pending: PendingWithdrawal, announced_at: float) -> None:
        """Suspend the keys of a withdrawal."""
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
        self._update_digests()

    def drop_decided(self, version: int, confirmed_at: float | None) -> None:
        """Drop withdrawals that the version in force or the store decides."""
        for operation_id, pending in tuple(
            self._pending_by_operation_id.items(),
        ):
            announced_at = self._announced_at_by_operation_id[operation_id]
            expired = (
                confirmed_at is not None
                and confirmed_at > announced_at + self._hold_s
            )
            if expired or version > pending.base_version:
                self._pending_by_operation_id.pop(operation_id)
                self._announced_at_by_operation_id.pop(operation_id)
        self._update_digests()

    def reported(self, now: float) -> tuple[HeldWithdrawal, ...]:
        """Return the withdrawals with their ages, for a report to a peer."""
        return tuple(
            HeldWithdrawal(
                pending,
                now - self._announced_at_by_operation_id[operation_id],
            )
            for operation_id, pending in self._pending_by_operation_id.items()
        )

    def _update_digests(self) -> None:
        self._suspended_digests = frozenset(
            digest
            for pending in self._pending_by_operation_id.values()
            for digest in pending.key_digests
        )


def _latest(first: float | None, second: float | None) -> float | None:
    if first is None or second is None:
        return second if first is None else first
    return max(first, second)
