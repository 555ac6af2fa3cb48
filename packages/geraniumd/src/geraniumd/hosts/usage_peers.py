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
        replicas = 0
        for link in links:
            replicas += await _store_replica(link, batch)
            if replicas >= REPLICA_COUNT:
                return
        if not replicas:
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
        fetched = await asyncio.gather(
            *(
                _fetch_batches(link, through_window)
                for link in self._links_by_host.values()
            ),
        )
        local = self._ledger.batches(through_window)
        return (*local, *(batch for batches in fetched for batch in batches))


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


async def _store_replica(link: PeerLink, batch: UsageBatch) -> bool:
    try:
        response = await link.request(UsageReplica((batch,)))
    except PeerError:
        return False
    return isinstance(response, Acknowledgement) and response.counts


async def _fetch_batches(
    link: PeerLink,
    through_window: int,
) -> tuple[UsageBatch, ...]:
    try:
        response = await link.request(UsageRequest(through_window))
    except PeerError:
        return ()
    return response.batches if isinstance(response, UsageReplica) else ()
