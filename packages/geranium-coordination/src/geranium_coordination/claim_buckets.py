"""The claims of one bucket object and what may be done to them."""

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
from .exceptions import CoordinationError

ENTRY_BYTES = 400

_IsGone: TypeAlias = Callable[[str], bool]


class CorruptClaimsError(CoordinationError):
    """A bucket object is malformed."""


class ClaimState(enum.Enum):
    """How far a claimed call has got."""

    CLAIMED = 'claimed'
    COMPLETED = 'completed'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEntry:
    """A claim as it is stored; ``tick`` tells its age."""

    holder: str
    attempt: str
    fingerprint: str
    tick: int
    state: ClaimState = ClaimState.CLAIMED
    outcome: CallOutcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Ask for the right to send a call."""

    ticket: ClaimTicket


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """Keep the outcome of a call that was sent."""

    ticket: ClaimTicket
    outcome: CallOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Note that a call was sent and its outcome will not be known."""

    ticket: ClaimTicket


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Free a call that was certainly not run."""

    ticket: ClaimTicket


ClaimOperation: TypeAlias = Claim | Complete | GiveUp | Release


@dataclasses.dataclass(slots=True)
class ClaimBucket:
    """The claims of a bucket by their ids, with the present tick."""

    tick: int = 0
    entries: dict[str, ClaimEntry] = dataclasses.field(default_factory=dict)

    def copy(self) -> 'ClaimBucket':
        """Return a bucket that can be changed apart from this one."""
        return ClaimBucket(self.tick, dict(self.entries))

    def size_bytes(self) -> int:
        """Return about how long the stored body is."""
        return sum(_size_bytes(entry) for entry in self.entries.values())

    def expire(self, retention_ticks: int) -> None:
        """Forget claims that are older than the retention period."""
        oldest = self.tick - retention_ticks
        self.entries = {
            claim_id: entry
            for claim_id, entry in self.entries.items()
            if entry.tick >= oldest
        }

    def drop(self, attempts: Collection[str]) -> None:
        """Free the calls of attempts that were certainly not sent."""
        self.entries = {
            claim_id: entry
            for claim_id, entry in self.entries.items()
            if entry.attempt not in attempts
        }

    def claim(self, ticket: ClaimTicket, is_gone: _IsGone) -> ClaimAnswer:
        """Enter the claim, or return what stands in its way."""
        entry = self.entries.get(ticket.claim_id)
        if entry is None:
            self._put(ticket, ClaimState.CLAIMED)
            return Claimed(ticket)
        if entry.attempt == ticket.attempt:
            return Claimed(ticket)
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

    def settle(self, operation: Complete | GiveUp | Release) -> None:
        """End the attempt's claim, unless it is not in the bucket."""
        ticket = operation.ticket
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
    size = ENTRY_BYTES + len(entry.attempt) + len(entry.holder)
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
