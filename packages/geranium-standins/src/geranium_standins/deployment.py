"""Local deployment of stand-ins and real daemons.

For tests and experiments. Every process listens on a loopback port chosen by
the kernel and logs into the deployment's folder.
"""

import asyncio
import pathlib
import tempfile
from collections.abc import Coroutine, Mapping
from functools import partial
from typing import Any, Self

import aiohttp

from .deployment_launch import (
    DaemonLocation,
    launch_daemon,
    launch_engine,
    launch_target,
)
from .deployment_operator import DeploymentOperator
from .deployment_settings import NO_OVERRIDES, DeploymentSettings
from .managed_process import ManagedProcess, ProcessError, wait_until


class Deployment:
    """Context manager that starts and stops the processes."""

    def __init__(self, settings: DeploymentSettings | None = None) -> None:
        self.settings = settings or DeploymentSettings()
        self._folder = tempfile.TemporaryDirectory(prefix='deployment-')
        self._session: aiohttp.ClientSession | None = None
        self.folder = pathlib.Path(self._folder.name)
        self.platform = ManagedProcess('platform', self.folder)
        self.engines_by_name: dict[str, ManagedProcess] = {}
        self.targets_by_name: dict[str, ManagedProcess] = {}
        self.daemons_by_host: dict[str, ManagedProcess] = {}
        self.extra_processes_by_name: dict[str, ManagedProcess] = {}

    async def __aenter__(self) -> Self:
        """Start all processes and load the configuration."""
        self._session = aiohttp.ClientSession()
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Stop all processes and remove the folder."""
        await asyncio.gather(
            *(process.stop() for process in self._processes()),
        )
        if self._session is not None:
            await self._session.close()
        self._folder.cleanup()

    @property
    def http(self) -> aiohttp.ClientSession:
        """Return the HTTP client session of the deployment."""
        if self._session is None:
            raise ProcessError('the deployment was not started')
        return self._session

    @property
    def operator(self) -> DeploymentOperator:
        """Return an operator API client of this deployment."""
        return DeploymentOperator(self.http, self.operator_url)

    def caller_url(self, host: str, path: str) -> str:
        """Return a URL of a daemon's caller API."""
        address = self.daemons_by_host[host].addresses['caller']
        return f'http://{address}{path}'

    def operator_url(self, host: str, path: str) -> str:
        """Return a URL of a daemon's operator API."""
        address = self.daemons_by_host[host].addresses['operator']
        return f'http://{address}/operator/v1{path}'

    def configuration_document(self) -> dict[str, Any]:
        """Return the configuration of the running engines and targets."""
        return self.settings.configuration_document(
            _addresses(self.engines_by_name),
            _addresses(self.targets_by_name),
        )

    async def add_daemon(
        self,
        host: str,
        zone: str,
        overrides: Mapping[str, Any] = NO_OVERRIDES,
    ) -> ManagedProcess:
        """Start a daemon; it replaces the process recorded for the host."""
        process = ManagedProcess(host, self.folder)
        self.daemons_by_host[host] = process
        await self.operator.register_host(self.platform.url, host, zone)
        location = DaemonLocation(
            host, zone, self.platform.addresses['address']
        )
        await launch_daemon(process, self.settings, location, overrides)
        return process

    async def add_process(self, name: str, *arguments: str) -> ManagedProcess:
        """Start ``python -m ARGUMENTS`` as part of the deployment."""
        process = ManagedProcess(name, self.folder)
        self.extra_processes_by_name[name] = process
        await process.start(arguments)
        return process

    async def wait_ready(self, host: str) -> None:
        """Return once a daemon is ready."""
        await wait_until(partial(self._is_ready, host))

    async def wait_connected(self, host: str) -> None:
        """Return once a daemon is connected to all other daemons."""
        await wait_until(partial(self._is_connected, host))

    async def _start(self) -> None:
        await self.platform.start(('geranium_standins.platform', '--port=0'))
        settings = self.settings
        starting: list[Coroutine[Any, Any, object]] = []
        for number in _numbers(settings.engines):
            engine = ManagedProcess(f'engine-{number}', self.folder)
            self.engines_by_name[engine.name] = engine
            starting.append(launch_engine(engine, settings, number))
        for number in _numbers(settings.targets):
            target = ManagedProcess(f'target-{number}', self.folder)
            self.targets_by_name[target.name] = target
            starting.append(launch_target(target, settings))
        for number in _numbers(settings.daemons):
            zone = settings.zone_of(number)
            starting.append(self.add_daemon(f'host-{number}', zone))
        await asyncio.gather(*starting)
        await asyncio.gather(*map(self.wait_ready, self.daemons_by_host))
        await asyncio.gather(*map(self.wait_connected, self.daemons_by_host))
        await self.operator.load_configuration(self.configuration_document())

    async def _is_ready(self, host: str) -> bool:
        url = self.operator_url(host, '/health/ready')
        async with self.http.get(url) as response:
            return response.ok

    async def _is_connected(self, host: str) -> bool:
        answer = await self.operator.execute('show peers', host)
        connected = answer['columns'].index('connected')
        peer_rows = [row for row in answer['rows'] if row[0] == host]
        connected_count = sum(bool(row[connected]) for row in peer_rows)
        return connected_count >= len(self.daemons_by_host) - 1

    def _processes(self) -> tuple[ManagedProcess, ...]:
        return (
            *self.daemons_by_host.values(),
            *self.extra_processes_by_name.values(),
            *self.engines_by_name.values(),
            *self.targets_by_name.values(),
            self.platform,
        )


def _numbers(count: int) -> range:
    return range(1, count + 1)


def _addresses(
    processes_by_name: Mapping[str, ManagedProcess],
) -> Mapping[str, str]:
    return {
        name: process.addresses['address']
        for name, process in sorted(processes_by_name.items())
    }
