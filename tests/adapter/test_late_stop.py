"""A host that comes late to its signal keeps what ends before SIGKILL."""

import asyncio
import signal
import time

import pytest
from aiohttp import web
from geranium_platform_standins import StandinTarget

from .test_planned_stop import LONG_MS, allow_long_requests
from .waits import ticks

GRACE_S = 5.0
WORK_S = 3.2  # ends in time, but not if the stall counts twice
STALL_S = 2.0


@pytest.fixture
def target() -> StandinTarget:
    async def work(request: web.Request) -> web.Response:
        await asyncio.sleep(WORK_S)
        return web.Response(text='done', headers={'Response-Signature': 's'})

    return StandinTarget(work)


# The time by which the drain began late was taken off the grace period twice,
# so that requests were cut long before SIGKILL.
@pytest.mark.parametrize('stall_s', [0, STALL_S])
async def test_open_request_that_ends_before_sigkill_is_not_cut(
    world, stall_s: float
) -> None:
    settings = world.host._settings
    bounds = settings.bounds.model_copy(update={'grace_s': GRACE_S})
    world.host._settings = settings.model_copy(update={'bounds': bounds})
    await allow_long_requests(world)
    headers = world.headers(Deadline_Ms=str(LONG_MS))
    sending = asyncio.create_task(
        world.caller.post(world.url('/unsafe/x'), headers=headers)
    )
    async for _ in ticks():
        if world.target.requests:
            break

    signal.raise_signal(signal.SIGTERM)
    time.sleep(stall_s)  # noqa: ASYNC251 -- stalls the loop

    async with await sending as response:
        assert response.status == 200
