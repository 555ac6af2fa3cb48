"""Measurement of a daemon's resource usage from outside the process."""

import asyncio
import dataclasses
import itertools
import os
import pathlib
import time
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import Any

from geranium_standins.deployment import Deployment
from geranium_standins.deployment_operator import OPERATOR_TOKEN

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
# Indices into /proc/PID/stat, counted from the field after the name.
_USER_FIELD = 11
_SYSTEM_FIELD = 12
_PAGES_FIELD = 21
_READ_BYTES = 65536
_PEER_BYTES = 'geraniumdrum.peer.io'


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Cumulative resource usage of a daemon since its start."""

    at: float
    processor_s: float
    resident_bytes: int
    platform_calls_by_kind: Mapping[str, int]
    peer_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Resource usage of a daemon per second, and its resident memory."""

    processor_percent: float
    resident_bytes: int
    platform_calls_by_kind: Mapping[str, float]
    peer_bytes: float


async def measure_rates(
    deployment: Deployment,
    host: str,
    seconds: float,
) -> Rates:
    """Measure a daemon's resource usage over a number of seconds."""
    before = await read_resource_usage(deployment, host)
    await asyncio.sleep(seconds)
    after = await read_resource_usage(deployment, host)
    elapsed_s = after.at - before.at
    calls = after.platform_calls_by_kind
    return Rates(
        (after.processor_s - before.processor_s) / elapsed_s * 100,
        after.resident_bytes,
        {
            kind: (calls[kind] - before.platform_calls_by_kind[kind])
            / elapsed_s
            for kind in calls
        },
        (after.peer_bytes - before.peer_bytes) / elapsed_s,
    )


async def read_resource_usage(
    deployment: Deployment, host: str
) -> ResourceUsage:
    """Return a daemon's cumulative resource usage."""
    state = await _get(deployment, host, '/state')
    metrics = await _get(deployment, host, '/metrics')
    pid = deployment.daemons_by_host[host].pid
    return ResourceUsage(
        time.monotonic(),
        processor_s(pid),
        _resident_bytes(pid),
        state['platform_calls'],
        _sum_points(metrics, _PEER_BYTES),
    )


def processor_s(pid: int) -> float:
    """Return the processor time used by a process, in seconds."""
    fields = _stat_fields(pid)
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return ticks / _TICKS_PER_S


class CountingProxy:
    """Forwards TCP connections and counts the bytes in both directions."""

    def __init__(self, address: str) -> None:
        self._address = address.split(':')
        self._tasks: set[asyncio.Task[None]] = set()
        self.count = 0

    @asynccontextmanager
    async def listen(self) -> AsyncIterator[str]:
        """Listen within the ``async with`` block and yield the address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        try:
            port = server.sockets[0].getsockname()[1]
            yield f'127.0.0.1:{port}'
        finally:
            server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            *self._address,
        )
        await asyncio.gather(
            self._forward(reader, target_writer),
            self._forward(target_reader, writer),
            return_exceptions=True,
        )

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while chunk := await reader.read(_READ_BYTES):
                self.count += len(chunk)
                writer.write(chunk)
                await writer.drain()
        finally:
            writer.close()


async def _get(deployment: Deployment, host: str, path: str) -> Any:
    async with deployment.http.get(
        deployment.operator_url(host, path),
        headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'},
        raise_for_status=True,
    ) as response:
        return await response.json()


def _resident_bytes(pid: int) -> int:
    return int(_stat_fields(pid)[_PAGES_FIELD]) * _PAGE_BYTES


def _stat_fields(pid: int) -> list[str]:
    """Return the fields after the process name, which may contain spaces."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    return text.rpartition(') ')[2].split()


def _sum_points(metrics: Any, name: str) -> int:
    """Return the sum of a counter over all attribute sets."""
    scopes = itertools.chain.from_iterable(
        resource['scope_metrics']
        for resource in metrics.get('resource_metrics', ())
    )
    readings = itertools.chain.from_iterable(
        scope['metrics'] for scope in scopes
    )
    points = itertools.chain.from_iterable(
        reading['data']['data_points']
        for reading in readings
        if reading['name'] == name
    )
    return sum(point['value'] for point in points)
