"""Immutable, numbered batches of the usage that a host counted."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Protocol

from geranium_model import Usage

from .exceptions import CoordinationError


class ReplicationError(CoordinationError):
    """Too few peers hold a batch; it can be sent again."""


@dataclasses.dataclass(frozen=True, slots=True)
class UsageBatch:
    """Usage that a host counted between two replications.

    Args:
        origin: The host with its incarnation.
        sequence: Number of the batch, consecutive from 1 onward.
        window: The reporting window of the usage.
        usage_by_team: The usage of this batch alone, not cumulative.
    """

    origin: str
    sequence: int
    window: int
    usage_by_team: Mapping[str, Usage]


class UsageReplicator(Protocol):
    """Sends batches to peers; implemented by the daemon."""

    async def replicate(self, batch: UsageBatch) -> None:
        """Send the batch; return once enough peers in other zones hold it.

        Raises:
            ReplicationError: If too few peers stored it.
        """
        ...


def sum_usage(batches: Iterable[UsageBatch]) -> dict[str, Usage]:
    """Return the total usage of each team."""
    total: dict[str, Usage] = {}
    for batch in batches:
        for team, usage in batch.usage_by_team.items():
            total[team] = total.get(team, Usage()) + usage
    return total
