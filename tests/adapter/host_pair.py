"""Hosts with targets in common, whose links to them can be cut by host."""

import asyncio
import contextlib
import contextvars
import dataclasses
import itertools
import pathlib
from collections.abc import AsyncIterator, Iterator, Sequence
from typing import Any

from aiohttp import ClientSession, web
from geranium_platform import PlatformSettings
from geranium_platform.host import Host
from geranium_platform.reloading import SettingsFile
from geranium_platform_standins import (
    StandinCloud,
    StandinStore,
    free_ports,
    render_settings,
)
from geranium_platform_standins.targets import Handler, StandinTarget
from geranium_standins.host_links import (
    TARGETS_IP,
    CutMode,
    HostLinks,
    redirect_connections,
)

from .conftest import (
    CONFIGURATION,
    make_settings,
    responds_ok,
    target_entry,
)
from .waits import wait_for

RELAYS_IP = '127.0.3.{number}'
TARGET_COUNT = 3
ONE_VERSION = ('v1',) * TARGET_COUNT
EVENTS = (b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n')
_relays_ip: contextvars.ContextVar[str | None] = contextvars.ContextVar(
    'relays_ip', default=None
)


@dataclasses.dataclass(slots=True)
class LinkedHost:
    """A running host and its links to the targets."""

    host: Host
    source: SettingsFile
    links: HostLinks
    running: asyncio.Task[None]

    @property
    def settings(self) -> PlatformSettings:
        """The settings of the host."""
        return self.source.settings

    async def stop(self) -> None:
        """Stop the host at once."""
        self.running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.running

    def start(self) -> None:
        """Start a process of the host, which knows nothing of the last.

        It listens on other ports: the last one still holds its own.
        """
        store = self.settings.platform.model_dump()
        fresh = make_settings(platform=store)
        settings = self.settings.model_copy(
            update={
                'listen': fresh.listen,
                'internal_ports': fresh.internal_ports,
                'bootstrap': False,
            }
        )
        self.source = SettingsFile(self.source.path, settings)
        with _relays_of_host(self.links.local_ip):
            self.host = Host(self.source)
            self.running = asyncio.create_task(self.host.run())


@dataclasses.dataclass(slots=True)
class Pair:
    """Hosts that share targets and a store."""

    store: StandinStore
    targets: list[StandinTarget]
    hosts: list[LinkedHost]
    caller: ClientSession
    ports: Sequence[int] = ()

    async def restart_all(self) -> None:
        """Stop all hosts at once and start them again."""
        for linked in self.hosts:
            await linked.stop()
        for linked in self.hosts:
            linked.start()
        await self.wait_until_complete()

    async def wait_until_complete(self) -> None:
        """Return once all hosts are ready and know each other."""
        await wait_for(lambda: _is_complete(self))

    def knows(self, identity: str) -> bool:
        """Return whether a host still knows a target."""
        return any(
            identity in linked.host.state.fleet.targets_by_identity
            for linked in self.hosts
        )

    async def cut(self, number: int, mode: CutMode) -> None:
        """Cut a host from all targets."""
        await self.hosts[number].links.cut(mode)

    async def cut_some(
        self, targets: Sequence[StandinTarget], mode: CutMode
    ) -> None:
        """Cut all hosts from some targets."""
        ports = [self.ports[self.targets.index(target)] for target in targets]
        for linked in self.hosts:
            await linked.links.cut(mode, ports)

    async def heal_all(self) -> None:
        """End the cuts of all hosts."""
        for linked in self.hosts:
            await linked.links.heal()

    async def request(
        self,
        number: int,
        kind: str,
        identity: str,
        **headers: str,
    ) -> tuple[int, bytes]:
        """Send a request to a host; return the status and the body."""
        listen = self.hosts[number].settings.listen
        named = {
            'Host': 'example',
            'Authorization': 'Bearer key',
            'Request-Id': identity,
            'Deadline-Ms': '4000',
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        async with self.caller.post(
            f'http://{listen.front}/{kind}/x', headers=named, data=b'body'
        ) as response:
            return response.status, await response.read()

    def runs_of(self, identity: str) -> int:
        """Return how many requests with an id the targets have received."""
        requests = itertools.chain.from_iterable(
            target.requests for target in self.targets
        )
        identities = [request.headers['Request-Id'] for request in requests]
        return identities.count(identity)


@contextlib.asynccontextmanager
async def run_pair(
    store_address: str,
    store: StandinStore,
    folder: pathlib.Path,
    zones: str = 'aa',
    handler: Handler | None = None,
    versions: Sequence[str] = ONE_VERSION,
) -> AsyncIterator[Pair]:
    """Run hosts, one for each letter of their zones, until they are ready."""
    redirect_connections(asyncio.get_running_loop(), TARGETS_IP, _relays_ip.get)
    store.put('config', 'main', configuration())
    async with contextlib.AsyncExitStack() as stack:
        caller = await stack.enter_async_context(ClientSession())
        pair = Pair(store, [], [], caller)
        ports = free_ports(TARGET_COUNT, TARGETS_IP)
        pair.ports = ports
        cloud = StandinCloud().application()
        cloud_address = await _serve(stack, cloud, 0)
        for number, port in enumerate(ports):
            target = StandinTarget(handler or respond_with_events)
            pair.targets.append(target)
            await _serve(stack, target.application(), port)
            address = f'{TARGETS_IP}:{port}'
            store.put(
                'servers',
                f't{number}',
                target_entry(address, version=versions[number]),
            )
        for number, zone in enumerate(zones):
            settings = make_settings(
                platform={'address': store_address},
                cloud={'address': cloud_address},
            ).model_copy(update={'host': f'host-{number}', 'zone': zone})
            linked = _start_host(stack, folder, settings, number)
            for port in ports:
                await linked.links.add((TARGETS_IP, port))
            pair.hosts.append(linked)
        await pair.wait_until_complete()
        yield pair


async def respond_with_events(request: web.Request) -> web.Response:
    """Respond with a whole stream, whatever the kind of the request."""
    return web.Response(
        body=b''.join(EVENTS), headers=response_headers(request)
    )


def response_headers(request: web.Request) -> dict[str, str]:
    """Return the headers that a target's response needs."""
    return {
        'Request-Id': request.headers.get('Request-Id', ''),
        'Response-Signature': 'signed',
        'Content-Type': 'text/event-stream',
    }


def configuration(timeout_ms: int = 4000, version: int = 1) -> dict[str, Any]:
    """Return a configuration whose streams can be resumed."""
    return {
        **CONFIGURATION,
        'version': version,
        'routes': [
            {**route, 'timeoutMs': timeout_ms, 'resumable': True}
            for route in CONFIGURATION['routes']
        ],
    }


async def _serve(
    stack: contextlib.AsyncExitStack, application: web.Application, port: int
) -> str:
    runner = web.AppRunner(
        application, shutdown_timeout=0, handler_cancellation=True
    )
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, TARGETS_IP, port).start()
    host, bound_port = runner.addresses[0][:2]
    return f'{host}:{bound_port}'


def _start_host(
    stack: contextlib.AsyncExitStack,
    folder: pathlib.Path,
    settings: PlatformSettings,
    number: int,
) -> LinkedHost:
    path = folder / f'{number}.toml'
    path.write_text(render_settings(settings))
    last_byte = number + 1
    local_ip = RELAYS_IP.format(number=last_byte)
    links = HostLinks(local_ip)
    stack.push_async_callback(links.close)
    source = SettingsFile(path, settings)
    with _relays_of_host(local_ip):
        host = Host(source)
        running = asyncio.create_task(host.run())
    linked = LinkedHost(host, source, links, running)
    stack.push_async_callback(linked.stop)
    return linked


@contextlib.contextmanager
def _relays_of_host(local_ip: str) -> Iterator[None]:
    """Let the tasks that are created in the block use a host's relays."""
    token = _relays_ip.set(local_ip)
    try:
        yield
    finally:
        _relays_ip.reset(token)


async def _is_complete(pair: Pair) -> bool:
    """Return whether all hosts are ready and know each other."""
    for linked in pair.hosts:
        address = linked.settings.listen.ready
        if not await responds_ok(pair.caller, f'http://{address}/ready'):
            return False
        state = linked.host.state
        if len(state.peers.usable()) + 1 != len(pair.hosts):
            return False
        if len(state.fleet.targets_by_identity) != len(
            pair.store.names('servers')
        ):
            return False
    return True
