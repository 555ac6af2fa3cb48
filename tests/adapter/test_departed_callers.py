"""Targets stop work, and get none, for callers that have left."""

import asyncio
import contextlib
import os
import pathlib
import signal
from collections.abc import AsyncIterator

import pytest
from geranium_platform_standins import StandinCloud, StandinStore

from .conftest import CONFIGURATION, Serve, make_settings, target_entry
from .departures import (
    LONG_MS,
    Caller,
    KeepsSilent,
    Responds,
    Streams,
    WorkingTarget,
    request,
)
from .limited_host import LimitedHost
from .waits import ticks

KB = 1024
LARGE = bytes(100 * KB)
BEHIND = {
    'nothing': b'',
    'two-requests': request('b1') + request('b2'),
    'twelve-requests': b''.join(request(f'b{number}') for number in range(12)),
    'two-large-requests': request('b1', body=LARGE) + request('b2', body=LARGE),
    'half-a-large-request': request('b1', body=LARGE)[: 50 * KB],
}


@pytest.fixture
async def target() -> WorkingTarget:
    return WorkingTarget()


@pytest.fixture
async def host(
    store_standin: StandinStore,
    store_address: str,
    serve: Serve,
    target: WorkingTarget,
    tmp_path: pathlib.Path,
) -> AsyncIterator[LimitedHost]:
    """Run a host in a process of its own, with one target."""
    routes = [
        {**route, 'timeoutMs': LONG_MS, 'targetLatencyMs': LONG_MS}
        for route in CONFIGURATION['routes']
    ]
    store_standin.put('config', 'main', {**CONFIGURATION, 'routes': routes})
    settings = make_settings(
        platform={'address': store_address},
        cloud={'address': await serve(StandinCloud().application())},
    )
    limited = LimitedHost(settings, tmp_path)
    async with contextlib.AsyncExitStack() as stack:
        address = await stack.enter_async_context(target.listening())
        store_standin.put('servers', 't1', target_entry(address))
        stack.push_async_callback(limited.close)
        await limited.start()
        await serve_one(limited, target)
        target.works_by_identity.clear()
        yield limited


async def serve_one(host: LimitedHost, target: WorkingTarget) -> None:
    """Return once a later request than all others has been served."""
    before = target.behaviour
    target.behaviour = Responds()
    async for _ in ticks():
        with contextlib.suppress(OSError):
            caller = await Caller.connect(host.addresses['front'])
            await caller.send(request('served', 'safe', 'GET'))
            answer = await caller.read()
            caller.leave('fin')
            if answer.startswith(b'HTTP/1.1 200'):
                break
    target.behaviour = before


@pytest.mark.parametrize('how', ['fin', 'reset', 'half-close'])
@pytest.mark.parametrize(
    'behaviour', [Streams(), KeepsSilent()], ids=['stream', 'silence']
)
@pytest.mark.parametrize('behind', BEHIND.values(), ids=BEHIND.keys())
async def test_end_behind_unread_bytes_ends_the_work(
    host: LimitedHost,
    target: WorkingTarget,
    behind: bytes,
    behaviour: Streams | KeepsSilent,
    how: str,
) -> None:
    target.behaviour = behaviour
    caller = await Caller.connect(host.addresses['front'])
    await caller.send(request('a'))
    await target.wait_for('a')
    await caller.send(behind)

    caller.leave(how)

    assert await target.is_idle_in_time()
    await serve_one(host, target)
    assert set(target.works_by_identity) == {'a', 'served'}


@pytest.mark.parametrize('how', ['fin', 'reset', 'half-close'])
async def test_end_behind_a_full_write_buffer_ends_the_work(
    host: LimitedHost, target: WorkingTarget, how: str
) -> None:
    target.behaviour = Streams(200 * KB)
    address = host.addresses['front']
    caller = await Caller.connect(address, receive_bytes=4 * KB)
    await caller.send(request('a'))
    await target.wait_for('a')
    await asyncio.sleep(1)

    caller.leave(how)

    assert await target.is_idle_in_time()


# A request that needs no new connection is sent in the step that reads it.
@pytest.mark.parametrize('how', ['fin', 'reset'])
@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('kind', ['safe', 'unsafe', 'streaming'])
async def test_request_of_a_caller_that_left_a_held_host_is_not_sent(
    host: LimitedHost, target: WorkingTarget, kind: str, method: str, how: str
) -> None:
    os.kill(host.pid, signal.SIGSTOP)
    for number in range(5):
        caller = await Caller.connect(host.addresses['front'])
        await caller.send(request(f'a{number}', kind, method))
        caller.leave(how)
    await asyncio.sleep(0.6)
    os.kill(host.pid, signal.SIGCONT)

    await serve_one(host, target)

    assert set(target.works_by_identity) == {'served'}


@pytest.mark.parametrize('how', ['fin', 'reset'])
@pytest.mark.parametrize('kind', ['safe', 'unsafe', 'streaming'])
@pytest.mark.parametrize('size', [50 * KB, 500 * KB])
async def test_request_that_its_target_has_not_taken_does_not_arrive(
    host: LimitedHost, target: WorkingTarget, size: int, kind: str, how: str
) -> None:
    target.reads.clear()
    await target.drop_connections()
    caller = await Caller.connect(host.addresses['front'])
    await caller.send(request('a', kind, body=bytes(size)))
    await asyncio.sleep(0.5)

    caller.leave(how)
    await asyncio.sleep(0.6)
    target.reads.set()

    await serve_one(host, target)
    assert set(target.works_by_identity) == {'served'}
