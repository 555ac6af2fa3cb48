"""Waits until hosts are ready."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Coroutine, Iterable
from http import HTTPStatus
from typing import Any

import aiohttp
from geranium_standins.managed_process import wait_until

from .host_process import HostProcess

READY_TIMEOUT_S = 60  # per host, for the start on a loaded machine


async def wait_until_ready(hosts: Iterable[HostProcess]) -> None:
    """Return when each of the hosts has been ready."""
    for host in hosts:
        await wait_until(functools.partial(_is_ready, host), READY_TIMEOUT_S)


async def wait_until_replaced(host: HostProcess, incarnation: int) -> None:
    """Return when a later process of a host than this one is ready."""
    is_replaced = functools.partial(_is_replaced, host, incarnation)
    await wait_until(is_replaced, READY_TIMEOUT_S)


@contextlib.asynccontextmanager
async def running(work: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Run a task until the end of the context."""
    task = asyncio.create_task(work)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.wait((task,))


async def _is_replaced(host: HostProcess, incarnation: int) -> bool:
    return host.incarnation > incarnation and await _is_ready(host)


async def _is_ready(host: HostProcess) -> bool:
    address = host.spec.ready
    try:
        async with aiohttp.ClientSession() as client:
            async with client.get(f'http://{address}/ready') as response:
                return response.status == HTTPStatus.OK
    except aiohttp.ClientError:
        return False
