"""JSON encoding of the claim operations and outcomes that hosts exchange."""

import dataclasses
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, TypeAlias

import pydantic

from .claim_buckets import (
    Claim,
    ClaimOperation,
    Complete,
    CorruptClaimsError,
    GiveUp,
    Release,
    Revoke,
)
from .claim_outcomes import (
    AlreadyCompleted,
    Claimed,
    ClaimOutcome,
    ClaimUnavailable,
    InProgress,
    Mismatch,
    Unknown,
)

_Message: TypeAlias = ClaimOperation | ClaimOutcome

_OPERATIONS = (Claim, Complete, GiveUp, Release, Revoke)
_OUTCOMES = (
    AlreadyCompleted,
    ClaimUnavailable,
    Claimed,
    InProgress,
    Mismatch,
    Unknown,
)
_ADAPTERS_BY_KIND: Mapping[str, pydantic.TypeAdapter[Any]] = MappingProxyType(
    {
        message.__name__: pydantic.TypeAdapter(message)
        for message in (*_OPERATIONS, *_OUTCOMES)
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Envelope:
    kind: str
    fields: dict[str, Any]


_ENVELOPE_ADAPTER = pydantic.TypeAdapter(_Envelope)


def encode_claim_message(message: _Message) -> bytes:
    """Return an operation or an outcome as JSON."""
    kind = type(message).__name__
    fields = _ADAPTERS_BY_KIND[kind].dump_python(message, mode='json')
    return _ENVELOPE_ADAPTER.dump_json(_Envelope(kind, fields))


def decode_claim_message(encoded: bytes) -> Any:
    """Return the operation or outcome that a host sent.

    Raises:
        CorruptClaimsError: If it is malformed.
    """
    try:
        envelope = _ENVELOPE_ADAPTER.validate_json(encoded)
        adapter = _ADAPTERS_BY_KIND[envelope.kind]
        return adapter.validate_python(envelope.fields)
    except (KeyError, pydantic.ValidationError) as error:
        raise CorruptClaimsError(str(error)) from error
