"""Voters: the hosts whose majority replaces the platform in an outage."""

import hashlib
from collections.abc import Iterable, Mapping

from geranium_coordination import (
    ConfigurationReplica,
    PendingWithdrawal,
    announce_to_voters,
)

from ..process import PeerError
from .directory import HostDirectory
from .links import PeerLink
from .messages import Acknowledgement, Announcement

VOTER_COUNT = 7
_ANNOUNCE_TIMEOUT_S = 3


def select_voters(hosts: Iterable[str]) -> tuple[str, ...]:
    """Return the voters of a membership, at most ``VOTER_COUNT`` hosts.

    The result is the same on every host with the same membership.
    """
    return tuple(sorted(hosts, key=_weight)[:VOTER_COUNT])


class WithdrawalAnnouncer:
    """Sends key withdrawals to the voters before they are accepted.

    During a platform outage a daemon keeps using its configuration as long
    as a majority of the voters responds. A withdrawal that the platform
    accepted just before the outage is already known to that majority.
    """

    def __init__(
        self,
        host: str,
        replica: ConfigurationReplica,
        directory: HostDirectory,
        links_by_host: Mapping[str, PeerLink],
    ) -> None:
        self._host = host
        self._replica = replica
        self._directory = directory
        self._links_by_host = links_by_host

    def update_voters(self) -> None:
        """Update the voters from the current membership."""
        self._replica.update_voters(self._voters())

    async def announce(self, pending: PendingWithdrawal) -> None:
        """Wait until a majority of the voters has suspended the keys.

        Raises:
            AnnouncementError: If no majority confirms within the timeout.
        """
        await announce_to_voters(
            pending,
            self._voters(),
            self._send,
            _ANNOUNCE_TIMEOUT_S,
        )

    def _voters(self) -> tuple[str, ...]:
        hosts = [member.host for member in self._directory.members()]
        return select_voters(hosts)

    async def _send(self, host: str, pending: PendingWithdrawal) -> bool:
        if host == self._host:
            return self._replica.suspend_keys(pending)
        link = self._links_by_host.get(host)
        if link is None:
            return False
        try:
            response = await link.request(Announcement(pending))
        except PeerError:
            return False
        return isinstance(response, Acknowledgement) and response.counts


def _weight(host: str) -> bytes:
    return hashlib.sha256(f'elector\0{host}'.encode()).digest()
