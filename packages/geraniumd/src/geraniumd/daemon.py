"""The daemon process: starts its components and shuts them down."""

import asyncio
import dataclasses
import json
import sys
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from typing import TypeAlias

from geranium_coordination import (
    LoadedConfiguration,
    ReplicationError,
    StoreError,
)

from .backends import EngineClient
from .callers import CompletionAdmission
from .duties import DutyManager, UsagePruner
from .hosts import Identity, Presence
from .process import (
    HttpListener,
    Secrets,
    Settings,
    get_logger,
    split_address,
    supervise,
)
from .state import build_context
from .upkeep import ListPoller, LoadProber, PeerLinkManager, PeerServer
from .wiring import (
    build_clients,
    build_gateway,
    build_operator_api,
)

_STEP_DOWN_TIMEOUT_S = 10

BackgroundTask: TypeAlias = tuple[str, Callable[[], Awaitable[None]]]


class Daemon:
    """All components of a daemon."""

    def __init__(self, settings: Settings, secrets: Secrets) -> None:
        self._context = build_context(settings, secrets)
        self._log = get_logger()
        self._stopping = asyncio.Event()
        self._presence: Presence | None = None
        self._clients = build_clients(self._context)
        self._admission = CompletionAdmission(self._context)
        self._gateway = build_gateway(
            self._context,
            self._clients,
            self._admission,
        )
        self._build_peering()
        self._duties = DutyManager(
            self._context, self._clients.target_transport
        )
        self._operator_api = build_operator_api(
            self._context,
            self._clients,
            self._duties,
            self.stop,
        )
        self._caller_listener = HttpListener(
            self._gateway.application(),
            settings.caller,
        )
        self._operator_listener = HttpListener(
            self._operator_api.application(),
            settings.operator,
        )

    def stop(self) -> None:
        """Begin a graceful shutdown; ``run`` returns when it is complete."""
        self._stopping.set()

    def dump(self) -> None:
        """Write the state dump to standard error."""
        self._operator_api.dump.write()

    async def run(self) -> None:
        """Run until ``stop`` is called and the shutdown is complete."""
        context = self._context
        await self._operator_listener.start()
        peer_address = await self._listen_for_peers()
        context.replica.subscribe(self._apply_configuration)
        await self._caller_listener.start()
        self._presence = Presence(
            host=context.settings.host,
            zone=context.settings.zone,
            region=context.settings.region,
            incarnation=context.incarnation,
            caller_address=self._caller_listener.advertised_address,
            peer_address=peer_address,
            operator_address=self._operator_listener.advertised_address,
        )
        context.directory.join(self._presence)
        self._print_addresses(self._presence)
        tasks = [
            asyncio.create_task(supervise(name, run), name=name)
            for name, run in self._background_tasks(self._presence)
        ]
        await self._stopping.wait()
        await self._shut_down(self._presence, tasks)

    def _apply_configuration(self, loaded: LoadedConfiguration) -> None:
        self._context.fleet.apply_configuration(loaded.configuration)
        self._admission.reject_withdrawn_keys()

    def _build_peering(self) -> None:
        context = self._context
        settings = context.settings
        identity = Identity(
            settings.host,
            settings.zone,
            context.incarnation,
            context.secrets.peer_secret,
        )
        self._peering = PeerLinkManager(context, identity)
        self._peer_server = PeerServer(context, identity)

    async def _listen_for_peers(self) -> str:
        endpoint = self._context.settings.peer
        host, port = split_address(endpoint.listen)
        bound_port = await self._peer_server.start(host, port)
        return endpoint.advertise or f'{host}:{bound_port}'

    def _print_addresses(self, presence: Presence) -> None:
        addresses = {
            'host': presence.host,
            'caller': presence.caller_address,
            'peer': presence.peer_address,
            'operator': presence.operator_address,
        }
        sys.stdout.write(f'{json.dumps(addresses)}\n')
        sys.stdout.flush()

    def _background_tasks(self, presence: Presence) -> Iterator[BackgroundTask]:
        context = self._context
        poller = ListPoller(context)
        prober = LoadProber(
            context.settings.targets,
            context.fleet,
            EngineClient(self._clients.target_transport),
            context.clock,
        )
        yield 'join', partial(self._join, presence)
        yield 'follower', context.follower.follow
        yield 'lists', poller.poll_lists
        yield 'presences', poller.poll_presences
        yield 'probes', prober.run
        yield 'claims', context.claims.run
        yield 'admission', self._admission.run
        yield 'usage', context.meter.ledger.run
        yield 'accounts', UsagePruner(context).run
        yield 'duties', self._duties.run
        yield 'peering', self._peering.run

    async def _join(self, presence: Presence) -> None:
        await self._context.follower.load_initial()
        while True:
            try:
                await self._context.presences.announce(presence)
            except StoreError as error:
                self._log.warning('presence_not_written', error=str(error))
                await asyncio.sleep(
                    self._context.settings.platform.retry_interval_s,
                )
            else:
                break
        self._context.lifecycle.join()
        self._log.info('ready', **dataclasses.asdict(presence))

    async def _shut_down(
        self,
        presence: Presence,
        tasks: list[asyncio.Task[None]],
    ) -> None:
        await self._leave(presence)
        await self._drain()
        await self._replicate_usage()
        await self._withdraw(dataclasses.replace(presence, is_leaving=True))
        for task in tasks:
            task.cancel()
        # Releasing leases waits for the platform, which may be unavailable.
        await asyncio.wait(tasks, timeout=_STEP_DOWN_TIMEOUT_S)
        self._peer_server.close()
        await self._operator_listener.close()
        await self._clients.close()
        await self._context.platform.close()
        self._context.lifecycle.finish()

    async def _leave(self, presence: Presence) -> None:
        """Direct callers to other hosts until cached host lists expire."""
        limits = self._context.settings.shutdown
        stops_at = self._context.clock.now() + limits.linger_s + limits.drain_s
        self._context.lifecycle.leave(stops_at)
        leaving = dataclasses.replace(presence, is_leaving=True)
        self._context.directory.join(leaving)
        try:
            await self._context.presences.announce(leaving)
        except StoreError as error:
            self._log.warning('presence_not_written', error=str(error))
        await asyncio.sleep(limits.linger_s)

    async def _drain(self) -> None:
        """Finish running requests, for at most ``drain_s``."""
        self._context.lifecycle.drain()
        await self._caller_listener.refuse_connections()
        try:
            async with asyncio.timeout(
                self._context.settings.shutdown.drain_s,
            ):
                await self._gateway.wait_idle()
        except TimeoutError:
            self._log.error('drain_cut_short', running=self._gateway.running)
        await self._caller_listener.close()

    async def _replicate_usage(self) -> None:
        """Replicate the usage that was counted since the last batch."""
        try:
            await self._context.meter.ledger.replicate()
        except ReplicationError as error:
            self._log.warning('usage_not_handed_over', error=str(error))

    async def _withdraw(self, presence: Presence) -> None:
        try:
            await self._context.presences.withdraw(presence)
        except StoreError as error:
            self._log.warning('presence_not_withdrawn', error=str(error))
