"""Manages the links to other daemons, with one task per link."""

import asyncio
import contextlib

from geranium_coordination import (
    CoordinationError,
    decode_delta,
)

from ..hosts import (
    ConfigurationRequest,
    ConfigurationUpdate,
    Identity,
    PeerLink,
    Presence,
    Status,
    select_peers,
)
from ..process import PeerError, get_logger
from ..state import Context

_RECONCILE_INTERVAL_S = 0.5


class PeerLinkManager:
    """Maintains links to the selected peers and exchanges state with them."""

    def __init__(
        self,
        context: Context,
        identity: Identity,
    ) -> None:
        self._identity = identity
        self.links_by_host = context.links_by_host
        self._gossip = context.gossip
        self._settings = context.settings.peers
        self._directory = context.directory
        self._replica = context.replica
        self._acknowledgements = context.acknowledgements
        self._clock = context.clock
        self._telemetry = context.telemetry
        self._log = get_logger()
        self._tasks_by_host: dict[str, asyncio.Task[None]] = {}
        self._ping_requested = asyncio.Event()

    async def run(self) -> None:
        """Maintain the links until cancelled."""
        self._replica.subscribe(lambda _loaded: self.ping_now())
        self._gossip.add_urgent_listener(self.ping_now)
        async with asyncio.TaskGroup() as group:
            while True:
                self._reconcile(group)
                await asyncio.sleep(_RECONCILE_INTERVAL_S)

    def ping_now(self) -> None:
        """Send a ping on every link now, since there is an urgent update."""
        self._ping_requested.set()
        self._ping_requested = asyncio.Event()

    def _reconcile(self, group: asyncio.TaskGroup) -> None:
        wanted = {
            peer.host: peer
            for peer in select_peers(
                self._identity.host,
                self._identity.zone,
                self._directory.peers(),
                self._settings,
            )
        }
        for host, link in tuple(self.links_by_host.items()):
            if wanted.get(host) != link.presence:
                self._remove(host)
        for host, presence in wanted.items():
            if host not in self.links_by_host:
                self._add(presence, group)

    def _add(self, presence: Presence, group: asyncio.TaskGroup) -> None:
        link = PeerLink(
            presence,
            self._identity,
            self._settings,
            self._telemetry,
        )
        self.links_by_host[presence.host] = link
        self._tasks_by_host[presence.host] = group.create_task(
            self._maintain(link),
        )

    def _remove(self, host: str) -> None:
        self.links_by_host.pop(host)
        self._tasks_by_host.pop(host).cancel()
        self._directory.record_silence(host, is_silent=False)

    async def _maintain(self, link: PeerLink) -> None:
        while True:
            try:
                async with link.connect():
                    await self._ping_periodically(link)
            except PeerError as error:
                link.last_error = str(error)
                self._handle_silence(link.host)
            await asyncio.sleep(self._settings.reconnect_interval_s)

    async def _ping_periodically(self, link: PeerLink) -> None:
        while True:
            ping_requested = self._ping_requested
            await self._ping(link)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    self._settings.heartbeat_interval_s,
                ):
                    await ping_requested.wait()

    async def _ping(self, link: PeerLink) -> None:
        sent_at = self._clock.now()
        status = await link.request(self._gossip.outgoing())
        if not isinstance(status, Status):
            raise PeerError(f'{link.host} sent an unexpected response')
        host = link.host
        link.status = status
        link.responded_at = sent_at
        self._directory.record_silence(host, is_silent=False)
        self._directory.record_leaving(host, is_leaving=status.is_leaving)
        if status.report.version > self._replica.version:
            await self._fetch_configuration(link)
        self._replica.merge_report(status.report, sent_at)
        self._acknowledgements.record(host, status.report.version)

    async def _fetch_configuration(self, link: PeerLink) -> None:
        wanted = ConfigurationRequest(self._replica.version)
        update = await link.request(wanted)
        if not isinstance(update, ConfigurationUpdate):
            raise PeerError(f'{link.host} sent an unexpected response')
        try:
            delta = decode_delta(update.encoded_delta)
            loaded = self._replica.loaded.apply_delta(delta)
        except CoordinationError as error:
            self._log.warning('configuration_not_taken', error=str(error))
            return
        if self._replica.apply(loaded):
            self._log.info(
                'configuration_applied',
                version=loaded.version,
                source=link.host,
            )

    def _handle_silence(self, host: str) -> None:
        if not self._directory.is_silent(host):
            self._log.warning('peer_silent', peer=host)
        self._directory.record_silence(host, is_silent=True)
