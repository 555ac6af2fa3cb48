"""Encodes and decodes the observed rates of engines in peer updates."""

import dataclasses
from collections.abc import Iterator, Sequence
from typing import Any

MAX_OBSERVATIONS = 256  # takes about 4 kB of a datagram
_FULL_WEIGHT = 255
_MAX_TOKENS_PER_S = 0xFFFFFFFF


@dataclasses.dataclass(frozen=True, slots=True)
class RateObservation:
    """The rate at which an engine has prefilled a prompt.

    Args:
        target: Hash of the engine's key.
        tokens_per_s: Prompt tokens a second, those queued ahead included.
        weight: How much the observation says, from 0 to 1.
    """

    target: int
    tokens_per_s: int
    weight: float


def encode_observations(
    observations: Sequence[RateObservation],
) -> dict[str, list[int]]:
    """Return observations as the struct of the Cap'n Proto schema."""
    return {
        'targets': [seen.target for seen in observations],
        'tokensPerS': [
            min(seen.tokens_per_s, _MAX_TOKENS_PER_S) for seen in observations
        ],
        'weights': [
            min(round(seen.weight * _FULL_WEIGHT), _FULL_WEIGHT)
            for seen in observations
        ],
    }


def decode_observations(table: Any) -> Iterator[RateObservation]:
    """Decode the observations of a message, without those of no weight.

    Raises:
        ValueError: If the parallel lists differ in length.
    """
    for target, tokens_per_s, weight in zip(
        tuple(table.targets),
        tuple(table.tokensPerS),
        tuple(table.weights),
        strict=True,
    ):
        if weight and tokens_per_s:
            yield RateObservation(target, tokens_per_s, weight / _FULL_WEIGHT)
