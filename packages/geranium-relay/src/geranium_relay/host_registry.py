"""The list of hosts in the store, and the addresses for callers."""

import asyncio
import contextlib
import dataclasses

from geranium_coordination import ObjectStore, StoreError, Unconditional

from .decision_log import DecisionLog
from .peer_identities import decode_stored_identity
from .peers import Peers
from .topology import ZoneMember

HOSTS_PREFIX = 'hosts/'


@dataclasses.dataclass(frozen=True, slots=True)
class RegistrySettings:
    """Intervals and limits of the host list.

    Args:
        retry_s: Delay after a failed call.
        read_interval_s: Interval of reads. New hosts become known through
            their updates, so reads only replace lost updates. Hosts that get
            reports of aggregators leave them to those.
        min_hosts_in_zone: Number of usable hosts from which a zone serves its
            own callers alone.
        max_addresses: Addresses in one response.
    """

    retry_s: float = 0.5
    read_interval_s: float = 20
    min_hosts_in_zone: int = 2
    max_addresses: int = 64


class HostRegistry:
    """Registers this host in the store and reads the other hosts.

    ``has_read`` says that it has read them at least once.
    """

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
        self._registration_requested = asyncio.Event()
        self.has_read = False

    def request_registration(self) -> None:
        """Register this host again: a restored store may lack its entry."""
        self._registration_requested.set()

    async def run(self) -> None:
        """Register this host, then read the list periodically."""
        self._registration_requested.set()
        while True:
            if self._registration_requested.is_set():
                self._registration_requested.clear()
                await self._register()
            try:
                await self._read()
            except StoreError as error:
                self._log.record('hosts_not_read', error=repr(error))
                await asyncio.sleep(self._settings.retry_s)
                continue
            await self._wait()
            while self._is_read_by_aggregators():
                await self._wait()

    def _is_read_by_aggregators(self) -> bool:
        if self._registration_requested.is_set():
            return False
        return isinstance(self._peers.topology(), ZoneMember)

    async def _wait(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.read_interval_s):
                await self._registration_requested.wait()

    async def _register(self) -> None:
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
            try:
                identity = decode_stored_identity(found.body)
            except ValueError as error:
                self._log.record(
                    'host_entry_unreadable', key=found.key, error=str(error)
                )
                continue
            self._peers.add(identity)
        self.has_read = True


class Directory:
    """Selects the addresses that callers may connect to."""

    def __init__(self, settings: RegistrySettings, peers: Peers) -> None:
        self._settings = settings
        self._peers = peers

    def addresses(self, zone: str | None, *, self_usable: bool) -> list[str]:
        """Return addresses for a caller in a zone.

        Args:
            zone: The caller's zone, if known.
            self_usable: Whether this host itself accepts callers.
        """
        usable = list(self._peers.usable())
        if self_usable:
            usable.append(self._peers.own)
        near = [peer for peer in usable if peer.zone == zone]
        if len(near) >= self._settings.min_hosts_in_zone:
            usable = near
        addresses = sorted({peer.front for peer in usable})
        return addresses[: self._settings.max_addresses]
