"""The list of hosts in the store, and where callers may connect."""

import asyncio
import dataclasses
from typing import Any

from geranium_coordination import ObjectStore, StoreError, Unconditional

from .decision_log import DecisionLog
from .peer_updates import PeerIdentity
from .peers import Peers

HOSTS_PREFIX = 'hosts/'


@dataclasses.dataclass(frozen=True, slots=True)
class RegistrySettings:
    """How the list is kept.

    Args:
        retry_s: Pause after a failed call.
        read_every_s: Time between two readings; hosts hear of newcomers
            through their news, so this only mends what was lost.
        enough_in_zone: Callers are sent to their own zone if it has so many
            usable hosts.
        most_addresses: Addresses in one answer.
    """

    retry_s: float = 0.5
    read_every_s: float = 20
    enough_in_zone: int = 2
    most_addresses: int = 64


class HostRegistry:
    """Enters this host into the list and reads the others from it."""

    def __init__(
        self,
        settings: RegistrySettings,
        store: ObjectStore,
        peers: Peers,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._store = store
        self._peers = peers
        self._log = log

    async def run(self) -> None:
        """Enter this host, then read the list from time to time."""
        await self._enter()
        while True:
            try:
                await self._read()
            except StoreError as error:
                self._log.record('hosts_not_read', error=repr(error))
                await asyncio.sleep(self._settings.retry_s)
                continue
            await asyncio.sleep(self._settings.read_every_s)

    async def _enter(self) -> None:
        own = self._peers.own
        body = dataclasses.asdict(own)
        while True:
            try:
                await self._store.write(
                    f'{HOSTS_PREFIX}{own.host}',
                    body,
                    Unconditional(),
                )
            except StoreError as error:
                self._log.record('host_not_entered', error=repr(error))
                await asyncio.sleep(self._settings.retry_s)
                continue
            return

    async def _read(self) -> None:
        for found in await self._store.read_prefix(HOSTS_PREFIX):
            identity = _identity(found.body)
            if identity is None:
                self._log.record('host_entry_unreadable', key=found.key)
                continue
            self._peers.add(identity)


class Directory:
    """Says which addresses callers may connect to."""

    def __init__(self, settings: RegistrySettings, peers: Peers) -> None:
        self._settings = settings
        self._peers = peers

    def addresses(self, zone: str | None, *, self_usable: bool) -> list[str]:
        """Return addresses for a caller in a zone.

        Args:
            zone: The caller's zone, if it is known.
            self_usable: Whether this host itself takes callers.
        """
        usable = list(self._peers.usable())
        if self_usable:
            usable.append(self._peers.own)
        near = [peer for peer in usable if peer.zone == zone]
        if len(near) >= self._settings.enough_in_zone:
            usable = near
        addresses = sorted({peer.front for peer in usable})
        return addresses[: self._settings.most_addresses]


def _identity(body: Any) -> PeerIdentity | None:
    try:
        return PeerIdentity(**body)
    except TypeError:
        return None
