"""Usage as hosts count it: numbered batches that never change."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Protocol

from geranium_model import Usage

from .exceptions import CoordinationError


class ReplicationError(CoordinationError):
    """Too few peers hold a batch yet; it may be sent again."""


@dataclasses.dataclass(frozen=True, slots=True)
class UsageBatch:
    """What a host counted between two replications.

    Args:
        origin: The host with its incarnation.
        sequence: Number of the batch, from 1 upward without gaps.
        window: The reporting window that it falls into.
        usage_by_team: The usage, not summed up with earlier batches.
    """

    origin: str
    sequence: int
    window: int
    usage_by_team: Mapping[str, Usage]


class UsageReplicator(Protocol):
    """Hands batches to peers; the daemon brings it."""

    async def replicate(self, batch: UsageBatch) -> None:
        """Return once enough peers in other zones hold the batch.

        Raises:
            ReplicationError: If too few took it.
        """
        ...


def sum_usage(batches: Iterable[UsageBatch]) -> dict[str, Usage]:
    """Return the usage of each team in all of the batches."""
    total: dict[str, Usage] = {}
    for batch in batches:
        for team, usage in batch.usage_by_team.items():
            total[team] = total.get(team, Usage()) + usage
    return total
