"""Encodes and decodes the limits of targets in peer updates."""

import dataclasses
from collections.abc import Iterator, Sequence
from typing import Any

_PER_S = 1000  # limits are sent in thousandths of a request a second
_NO_LIMIT = 0xFFFFFFFF


@dataclasses.dataclass(frozen=True, slots=True)
class AdvertisedRateLimit:
    """A target's limit as a host sends it to its peers.

    Args:
        target: Hash of the target's key.
        per_s: Requests a second of all hosts together; ``None`` if the limit
            was lifted.
        observed_ms: Cluster time of the response that said so, in Unix
            milliseconds.
    """

    target: int
    per_s: float | None
    observed_ms: int


def encode_rate_limits(
    limits: Sequence[AdvertisedRateLimit],
) -> dict[str, list[int]]:
    """Return limits as the struct of the Cap'n Proto schema."""
    return {
        'targets': [limit.target for limit in limits],
        'perS': [_encode_rate(limit.per_s) for limit in limits],
        'observedMs': [limit.observed_ms for limit in limits],
    }


def decode_rate_limits(table: Any) -> Iterator[AdvertisedRateLimit]:
    """Decode the limits of a message.

    Raises:
        ValueError: If the parallel lists differ in length.
    """
    for target, rate, observed_ms in zip(
        tuple(table.targets),
        tuple(table.perS),
        tuple(table.observedMs),
        strict=True,
    ):
        per_s = None if rate == _NO_LIMIT else rate / _PER_S
        yield AdvertisedRateLimit(target, per_s, observed_ms)


def rounded_rate(per_s: float) -> float:
    """Return a limit as an update with it is decoded."""
    return _encode_rate(per_s) / _PER_S


def _encode_rate(per_s: float | None) -> int:
    if per_s is None:
        return _NO_LIMIT
    return round(min(per_s * _PER_S, _NO_LIMIT - 1))
