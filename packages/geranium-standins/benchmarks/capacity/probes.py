"""Reads what a daemon spends, from outside of it."""

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
# Counted from the field after the process's name.
_USER_FIELD = 11
_SYSTEM_FIELD = 12
_PAGES_FIELD = 21
_READ_BYTES = 65536
_PEER_BYTES = 'geraniumdrum.peer.io'


@dataclasses.dataclass(frozen=True, slots=True)
class Spending:
    """What a daemon has spent since its start."""

    at: float
    processor_s: float
    resident_bytes: int
    platform_calls_by_kind: Mapping[str, int]
    peer_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """What a daemon spends each second, and its resident memory."""

    processor_percent: float
    resident_bytes: int
    platform_calls_by_kind: Mapping[str, float]
    peer_bytes: float


async def measure_rates(
    deployment: Deployment,
    host: str,
    seconds: float,
) -> Rates:
    """Return what a daemon spends over so many seconds."""
    before = await read_spending(deployment, host)
    await asyncio.sleep(seconds)
    after = await read_spending(deployment, host)
    passed_s = after.at - before.at
    calls = after.platform_calls_by_kind
    return Rates(
        (after.processor_s - before.processor_s) / passed_s * 100,
        after.resident_bytes,
        {
            kind: (calls[kind] - before.platform_calls_by_kind[kind]) / passed_s
            for kind in calls
        },
        (after.peer_bytes - before.peer_bytes) / passed_s,
    )


async def read_spending(deployment: Deployment, host: str) -> Spending:
    """Return what a daemon has spent until now."""
    state = await _get(deployment, host, '/state')
    metrics = await _get(deployment, host, '/metrics')
    pid = deployment.daemons_by_host[host].pid
    return Spending(
        time.monotonic(),
        processor_s(pid),
        _resident_bytes(pid),
        state['platform_calls'],
        _sum_points(metrics, _PEER_BYTES),
    )


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = _stat_fields(pid)
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return ticks / _TICKS_PER_S


class CountingProxy:
    """Passes TCP connections on and counts the bytes of both ways."""

    def __init__(self, address: str) -> None:
        self._address = address.split(':')
        self._tasks: set[asyncio.Task[None]] = set()
        self.count = 0

    @asynccontextmanager
    async def listen(self) -> AsyncIterator[str]:
        """Listen for the body of the ``async with``; give the address."""
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
        onward_reader, onward_writer = await asyncio.open_connection(
            *self._address,
        )
        await asyncio.gather(
            self._pass_on(reader, onward_writer),
            self._pass_on(onward_reader, writer),
            return_exceptions=True,
        )

    async def _pass_on(
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
    """Return the fields after the process's name, which may hold spaces."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    return text.rpartition(') ')[2].split()


def _sum_points(metrics: Any, name: str) -> int:
    """Return the sum over a counter's attributes."""
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
