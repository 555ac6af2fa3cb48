"""The claims of one bucket object and the operations on them."""

import base64
import dataclasses
import enum
from collections.abc import Callable, Collection
from typing import Any, TypeAlias

import pydantic

from .calls import CallOutcome, ClaimTicket
from .claim_outcomes import (
    AlreadyCompleted,
    ClaimAnswer,
    Claimed,
    InProgress,
    Mismatch,
    Unknown,
)
from .exceptions import StoreError

ENTRY_OVERHEAD_BYTES = 400
REVOKED_RETENTION_TICKS = 1

_IsGone: TypeAlias = Callable[[str], bool]


class CorruptClaimsError(StoreError):
    """A bucket object or a claim message is malformed."""


class ClaimState(enum.Enum):
    """State of a claimed call."""

    CLAIMED = 'claimed'
    COMPLETED = 'completed'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEntry:
    """A stored claim.

    ``tick`` is the bucket's tick when the holder last wrote the claim.
    """

    holder: str
    attempt: str
    fingerprint: str
    tick: int
    state: ClaimState = ClaimState.CLAIMED
    outcome: CallOutcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Requests the exclusive right to send a call."""

    ticket: ClaimTicket


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """Stores the outcome of a call that was sent."""

    ticket: ClaimTicket
    outcome: CallOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Records that a call was sent and its outcome cannot be determined."""

    ticket: ClaimTicket


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Frees a call that was certainly not executed."""

    ticket: ClaimTicket


@dataclasses.dataclass(frozen=True, slots=True)
class Revoke:
    """Frees a call that was certainly not executed and will not be.

    A claim of the attempt that is still queued on another host is rejected
    there.
    """

    ticket: ClaimTicket


Settlement: TypeAlias = Complete | GiveUp | Release | Revoke
ClaimOperation: TypeAlias = Claim | Settlement


@dataclasses.dataclass(slots=True)
class ClaimBucket:
    """The claims of a bucket by claim id, with the current tick.

    ``revoked`` maps attempts that can no longer claim a call to the tick at
    which they were revoked.
    """

    tick: int = 0
    entries: dict[str, ClaimEntry] = dataclasses.field(default_factory=dict)
    revoked: dict[str, int] = dataclasses.field(default_factory=dict)

    def copy(self) -> 'ClaimBucket':
        """Return a copy that can be changed independently."""
        return ClaimBucket(self.tick, dict(self.entries), dict(self.revoked))

    def size_bytes(self) -> int:
        """Return the approximate size of the stored body."""
        size = len(self.revoked) * ENTRY_OVERHEAD_BYTES
        return size + sum(map(_size_bytes, self.entries.values()))

    def expire(self, retention_ticks: int) -> None:
        """Remove claims and revocations that exceed their retention."""
        oldest = self.tick - retention_ticks
        self.entries = {
            claim_id: entry
            for claim_id, entry in self.entries.items()
            if entry.tick >= oldest
        }
        self.revoked = {
            attempt: tick
            for attempt, tick in self.revoked.items()
            if tick + REVOKED_RETENTION_TICKS >= self.tick
        }

    def revoke(self, attempts: Collection[str]) -> None:
        """Free the calls of attempts that were not sent and will not be."""
        self.entries = {
            claim_id: entry
            for claim_id, entry in self.entries.items()
            if entry.attempt not in attempts
        }
        self.revoked.update(dict.fromkeys(attempts, self.tick))

    def claim(
        self,
        ticket: ClaimTicket,
        is_gone: _IsGone,
    ) -> ClaimAnswer | None:
        """Add the claim, or return the reason why it cannot be added.

        Returns ``None`` for an attempt that was revoked.
        """
        if ticket.attempt in self.revoked:
            return None
        entry = self.entries.get(ticket.claim_id)
        if entry is None:
            self._put(ticket, ClaimState.CLAIMED)
            return Claimed(ticket)
        if entry.attempt == ticket.attempt:
            return Claimed(ticket)
        return self._reject(ticket, entry, is_gone)

    def settle(self, operation: Settlement) -> None:
        """Apply an operation that ends the attempt's claim.

        The bucket's claims change only if the attempt holds one.
        """
        ticket = operation.ticket
        if isinstance(operation, Revoke):
            self.revoke((ticket.attempt,))
        entry = self.entries.get(ticket.claim_id)
        if entry is None or entry.attempt != ticket.attempt:
            return
        match operation:
            case Complete(outcome=outcome):
                self._put(ticket, ClaimState.COMPLETED, outcome)
            case GiveUp():
                self._put(ticket, ClaimState.UNKNOWN)
            case Release():
                self.entries.pop(ticket.claim_id)

    def _reject(
        self,
        ticket: ClaimTicket,
        entry: ClaimEntry,
        is_gone: _IsGone,
    ) -> ClaimAnswer:
        if entry.fingerprint != ticket.fingerprint:
            return Mismatch()
        if entry.outcome is not None:
            return AlreadyCompleted(entry.outcome)
        if entry.state is ClaimState.CLAIMED and not is_gone(entry.holder):
            return InProgress(entry.holder)
        self.entries[ticket.claim_id] = dataclasses.replace(
            entry,
            state=ClaimState.UNKNOWN,
        )
        return Unknown()

    def _put(
        self,
        ticket: ClaimTicket,
        state: ClaimState,
        outcome: CallOutcome | None = None,
    ) -> None:
        self.entries[ticket.claim_id] = ClaimEntry(
            ticket.holder,
            ticket.attempt,
            ticket.fingerprint,
            self.tick,
            state,
            outcome,
        )


def _size_bytes(entry: ClaimEntry) -> int:
    size = ENTRY_OVERHEAD_BYTES + len(entry.attempt) + len(entry.holder)
    if entry.outcome is None:
        return size
    headers = ''.join(map(''.join, entry.outcome.headers))
    encoded_body = base64.b64encode(entry.outcome.body or b'')
    return size + len(headers) + len(encoded_body)


_ADAPTER = pydantic.TypeAdapter(ClaimBucket)


def decode_bucket(body: Any) -> ClaimBucket:
    """Return the bucket that a stored body describes.

    Raises:
        CorruptClaimsError: If the body is malformed.
    """
    try:
        return _ADAPTER.validate_python(body)
    except pydantic.ValidationError as error:
        raise CorruptClaimsError(str(error)) from error


def encode_bucket(bucket: ClaimBucket) -> Any:
    """Return the bucket as a JSON value."""
    return _ADAPTER.dump_python(bucket, mode='json')
