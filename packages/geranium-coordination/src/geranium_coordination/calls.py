"""Attempts and outcomes of calls that must not be executed twice."""

import dataclasses
import hashlib

import pydantic


@dataclasses.dataclass(frozen=True, slots=True)
class CallOutcome:
    """Response of a target, stored so that a resend can be answered.

    ``body`` is ``None`` if it was too large to store; ``body_sha256``, in
    hex, is always set.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body_sha256: str
    body: pydantic.Base64Bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTicket:
    """Identifies one attempt at a call.

    Args:
        claim_id: Hash of the team and its idempotency key.
        fingerprint: Hash of the call, the same for a resend.
        holder: The host that makes the attempt, with its incarnation.
        attempt: Unique name of this attempt.
    """

    claim_id: str
    fingerprint: str
    holder: str
    attempt: str


def call_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a hash that distinguishes a resend from a different call."""
    return digest_parts(method.encode(), path.encode(), body)


def make_call_outcome(
    status: int,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
) -> CallOutcome:
    """Return the outcome of a call, including the hash of its body."""
    return CallOutcome(status, headers, hashlib.sha256(body).hexdigest(), body)


def digest_parts(*parts: bytes) -> str:
    """Return the SHA-256, in hex, of a sequence of byte strings."""
    hashed = hashlib.sha256()
    for part in parts:
        hashed.update(len(part).to_bytes(8))
        hashed.update(part)
    return hashed.hexdigest()
