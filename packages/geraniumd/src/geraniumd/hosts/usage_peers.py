"""Replication of usage batches to peers and their collection."""

import asyncio
from collections.abc import Mapping

from geranium_coordination import (
    ReplicationError,
    UsageBatch,
    UsageLedger,
    UsageReport,
)

from ..platform import PlatformClient
from ..process import PeerError
from .links import PeerLink
from .messages import Acknowledgement, UsageReplica, UsageRequest

REPLICA_COUNT = 2


class PeerReplicator:
    """Replicates batches to peers, those in other zones first."""

    def __init__(
        self,
        zone: str,
        links_by_host: Mapping[str, PeerLink],
    ) -> None:
        self._zone = zone
        self._links_by_host = links_by_host

    async def replicate(self, batch: UsageBatch) -> None:
        """Send a batch to peers until ``REPLICA_COUNT`` of them store it.

        One replica is enough if no more peers accept the batch.

        Raises:
            ReplicationError: If there are peers and none stored the batch.
        """
        links = sorted(
            self._links_by_host.values(),
            key=lambda link: link.presence.zone == self._zone,
        )
        if not links:
            return
        held = 0
        for link in links:
            held += await _holds(link, batch)
            if held >= REPLICA_COUNT:
                return
        if not held:
            raise ReplicationError('no peer stored the batch')


class PeerCollector:
    """Collects the batches of this host and of its peers."""

    def __init__(
        self,
        ledger: UsageLedger,
        links_by_host: Mapping[str, PeerLink],
    ) -> None:
        self._ledger = ledger
        self._links_by_host = links_by_host

    async def collect(self, through_window: int) -> tuple[UsageBatch, ...]:
        """Return the batches of a window and of all earlier windows.

        Peers that do not respond are skipped. Batches that only they store
        enter a later window as a correction.
        """
        gathered = await asyncio.gather(
            *(
                _batches(link, through_window)
                for link in self._links_by_host.values()
            ),
        )
        own = self._ledger.batches(through_window)
        return (*own, *(batch for batches in gathered for batch in batches))


class PlatformSubmitter:
    """Submits sealed windows to the platform."""

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform

    async def submit(self, report: UsageReport) -> None:
        """Submit a report and wait until the platform has accepted it.

        Raises:
            StoreError: If the submission failed or its result is unknown.
        """
        await self._platform.report_usage(
            str(report.window),
            report.report_id,
            report.epoch,
            report.usage_by_team,
        )


async def _holds(link: PeerLink, batch: UsageBatch) -> bool:
    try:
        answer = await link.request(UsageReplica((batch,)))
    except PeerError:
        return False
    return isinstance(answer, Acknowledgement) and answer.counts


async def _batches(
    link: PeerLink,
    through_window: int,
) -> tuple[UsageBatch, ...]:
    try:
        answer = await link.request(UsageRequest(through_window))
    except PeerError:
        return ()
    return answer.batches if isinstance(answer, UsageReplica) else ()
