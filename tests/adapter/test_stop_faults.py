"""A stop whose steps fail or hang ends no request and comes to its end."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable

import geranium_relay as relay
import pytest
from aiohttp import web
from geranium_platform_standins import StandinTarget

from .test_planned_stop import (
    LONG_MS,
    SHORT_GRACE_S,
    allow_long_requests,
    stop,
)
from .waits import ticks

WORK_S = 0.4


@pytest.fixture
def target() -> StandinTarget:
    async def work(request: web.Request) -> web.Response:
        await asyncio.sleep(WORK_S)
        return web.Response(text='done', headers={'Response-Signature': 's'})

    return StandinTarget(work)


async def events_until_stopped(
    capfd: pytest.CaptureFixture,
) -> list[dict[str, object]]:
    """Return the log of a host that stops."""
    logged = ''
    async for _ in ticks():
        logged += capfd.readouterr().out
        if '"stopped"' in logged:
            break
    return [json.loads(line) for line in logged.splitlines()]


async def fail() -> None:
    raise RuntimeError('step of a stop')


# An error of one step ended the process with its requests.
@pytest.mark.parametrize('step', ['counts', 'broadcast'])
async def test_step_that_fails_ends_no_request(
    capfd, monkeypatch, world, step: str
) -> None:
    monkeypatch.setattr('geranium_platform.draining.MIN_DRAIN_S', 0)
    failed = asyncio.Event()

    async def fail_to_write() -> None:
        failed.set()
        await fail()

    def fail_to_send() -> None:
        failed.set()
        raise RuntimeError('step of a stop')

    if step == 'counts':
        # Left to itself the drain writes only once no request is open.
        monkeypatch.setattr('geranium_platform.draining.LAST_WRITE_S', 60)
        world.host._usage_writer.write_all = fail_to_write
    else:
        world.host._drain._broadcast = fail_to_send
    await allow_long_requests(world)
    url = world.url('/unsafe/x')
    headers = world.headers(Deadline_Ms=str(LONG_MS))
    sending = asyncio.create_task(world.caller.post(url, headers=headers))
    async for _ in ticks():
        if world.target.requests:
            break
    world.host._stop.set()
    await failed.wait()

    async with await sending as response:
        assert response.status == 200
        assert await response.text() == 'done'
    events = await events_until_stopped(capfd)
    assert any('step of a stop' in str(event) for event in events)


@contextlib.asynccontextmanager
async def hanging_end() -> AsyncIterator[None]:
    try:
        yield
    finally:
        await asyncio.Event().wait()


async def hang_as_it_ends() -> None:
    """Wait, and wait anew each of the first times that it is cancelled."""
    async with hanging_end(), hanging_end():
        await asyncio.Event().wait()


@pytest.fixture
def hanging_task(monkeypatch: pytest.MonkeyPatch) -> None:
    async def run(_writer: relay.UsageWriter) -> None:
        await hang_as_it_ends()

    monkeypatch.setattr(relay.UsageWriter, 'run', run)


# The lease of a duty was released to a silent store for 2.4 s, and the
# process was killed.
async def test_process_ends_while_a_task_waits(
    capfd, monkeypatch, hanging_task, world
) -> None:
    monkeypatch.setattr('geranium_platform.draining.MIN_DRAIN_S', 0)
    stop(world.host, SHORT_GRACE_S)

    events = await events_until_stopped(capfd)

    assert events[-1]['event'] == 'stopped'


@pytest.mark.parametrize('cleanup', [fail, hang_as_it_ends])
async def test_process_ends_if_a_cleanup_fails(
    capfd, world, cleanup: Callable[[], Awaitable[None]]
) -> None:
    world.host._path.cleanup = cleanup
    stop(world.host, SHORT_GRACE_S)

    events = await events_until_stopped(capfd)

    names = [event['event'] for event in events]
    assert names[-2:] == ['cleanup_failed', 'stopped']
