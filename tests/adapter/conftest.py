"""Fixtures: stand-ins on free ports and a host that uses them."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any

import pytest
from aiohttp import ClientError, ClientSession, web
from geranium_platform import PlatformSettings
from geranium_platform.host import Host
from geranium_platform.reloading import SettingsFile
from geranium_platform_standins import (
    StandinCloud,
    StandinStore,
    StandinTarget,
    free_ports,
    render_settings,
)

from .waits import wait_for

Serve = Callable[[web.Application], Awaitable[str]]
ServeConnection = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]

_WORKER = os.environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw')
_LAST_BYTE = 1 + int(_WORKER)
# No outgoing connection and no other worker of the tests uses this address, so
# none can take a host's ports before it listens.
HOST_IP = f'127.0.4.{_LAST_BYTE}'

ROUTE: dict[str, Any] = {
    'host': 'example',
    'timeoutMs': 800,
    'targetLatencyMs': 200,
    'targetGapMs': 250,
    'priority': 0,
    'service': 'app',
    'maxAttempts': 2,
    'public': False,
}
CONFIGURATION: dict[str, Any] = {
    'version': 1,
    'routes': [
        {**ROUTE, 'name': kind, 'pathPrefix': f'/{kind}/', 'kind': kind}
        for kind in ('safe', 'unsafe', 'streaming')
    ],
    'services': [{'name': 'app', 'maxConnections': 100}],
    'tenants': [{'name': 'team', 'apiKeys': ['key']}],
}


@dataclasses.dataclass(slots=True)
class World:
    """A running host, its stand-ins and a caller."""

    path: pathlib.Path
    settings: PlatformSettings
    host: Host
    store: StandinStore
    cloud: StandinCloud
    target: StandinTarget
    caller: ClientSession

    def url(self, path: str) -> str:
        """Return the URL of a path on the host."""
        front = self.settings.listen.front
        return f'http://{front}{path}'

    def headers(self, **more: str) -> dict[str, str]:
        """Return the headers of a caller's request."""
        named = {}
        for name, text in more.items():
            named[name.replace('_', '-')] = text
        return {
            'Host': 'example',
            'Authorization': 'Bearer key',
            'Request-Id': 'r1',
            'Deadline-Ms': '700',
            **named,
        }


@pytest.fixture
async def serve() -> AsyncIterator[Serve]:
    """Serve an application and return its address."""
    runners = []

    async def start(application: web.Application) -> str:
        runner = web.AppRunner(
            application,
            shutdown_timeout=0,
            handler_cancellation=True,
        )
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        runners.append(runner)
        host, port = runner.addresses[0][:2]
        return f'{host}:{port}'

    yield start
    for runner in runners:
        await runner.cleanup()


@pytest.fixture
def store_standin() -> StandinStore:
    return StandinStore()


@pytest.fixture
async def store_address(store_standin: StandinStore, serve: Serve) -> str:
    return await serve(store_standin.application())


@pytest.fixture
def target() -> StandinTarget:
    return StandinTarget()


@pytest.fixture
async def world(
    store_standin: StandinStore,
    store_address: str,
    target: StandinTarget,
    serve: Serve,
    tmp_path: pathlib.Path,
) -> AsyncIterator[World]:
    """Run a host until it is ready, with one target of one service."""
    cloud = StandinCloud()
    settings = make_settings(
        platform={'address': store_address},
        cloud={'address': await serve(cloud.application())},
    )
    store_standin.put('config', 'main', CONFIGURATION)
    store_standin.put(
        'servers', 't1', target_entry(await serve(target.application()))
    )
    path = tmp_path / 'local.toml'
    path.write_text(render_settings(settings))
    host = Host(SettingsFile(path, settings))
    running = asyncio.create_task(host.run())
    caller = ClientSession()
    checked = settings.listen.ready
    ready = f'http://{checked}/ready'
    await wait_for(lambda: responds_ok(caller, ready))
    await wait_for(lambda: knows_targets(host))
    yield World(path, settings, host, store_standin, cloud, target, caller)
    await caller.close()
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running


def target_entry(address: str, **changes: object) -> dict[str, object]:
    """Return the store entry of an application target."""
    return {
        'service': 'app',
        'address': address,
        'zone': 'a',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'coldRemainingMs': 0,
        'sequence': 0,
        'born': 1,
        **changes,
    }


def make_settings(**changes: Mapping[str, object]) -> PlatformSettings:
    """Return the settings of a host on free ports of this machine."""
    ports = free_ports(5, HOST_IP)
    return PlatformSettings.model_validate(
        {
            'nodeName': 'host-1',
            'ip': HOST_IP,
            'zone': 'a',
            # The second one is used only with quotas of teams.
            'internalPorts': [ports[3], ports[3] + 1],
            'bootstrap': True,
            'listen': {
                'front': f'{HOST_IP}:{ports[0]}',
                'ready': f'{HOST_IP}:{ports[1]}',
                'directory': f'{HOST_IP}:{ports[2]}',
                'metricsPort': ports[4],
            },
            'bounds': {
                'revokeMs': 5000,
                'graceS': 8,
                'leaseMs': 3000,
                'retryBudgetRatio': 0.2,
                'budgetWindowS': 10,
                'budgetSlack': 56,
                'reportWindowS': 5,
                'usageLateS': 10,
            },
            **changes,
        },
    )


async def responds_ok(caller: ClientSession, url: str) -> bool:
    """Return whether a URL responds with 200."""
    try:
        async with caller.get(url) as response:
            return response.status == 200
    except ClientError:
        return False


async def knows_targets(host: Host) -> bool:
    """Return whether a host knows at least one target."""
    return bool(host.state.fleet.targets_by_identity)


@contextlib.asynccontextmanager
async def only_target(
    world: World, serve_connection: ServeConnection
) -> AsyncIterator[None]:
    """Replace the target of a world by one that speaks on bare connections."""
    server = await asyncio.start_server(serve_connection, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()[:2]
    world.store.put('servers', 't2', target_entry(f'{host}:{port}'))
    world.store.remove('servers', 't1')

    async def is_known() -> bool:
        fleet = world.host.state.fleet
        return list(fleet.targets_by_identity) == ['t2']

    await wait_for(is_known)
    yield
    server.close()
