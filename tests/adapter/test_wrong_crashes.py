"""Requests that were taken for the cause of crashes are served again."""

import asyncio
import pathlib

from aiohttp import web
from geranium_platform_standins import StandinStore
from geranium_standins.host_links import CutMode

from .host_pair import Pair, respond_with_events, run_pair

IN_FLIGHT = 6
SETTLED_S = 10.5  # a target that serves on after 10 s has not crashed
REFUSED = 503


async def lose_answers(pair: Pair, arrived: asyncio.Semaphore) -> set[int]:
    """Cut all hosts from two targets under requests; return the statuses."""
    in_flight = [
        asyncio.create_task(pair.request(0, 'unsafe', f'early-{number}'))
        for number in range(IN_FLIGHT)
    ]
    for _ in in_flight:
        await arrived.acquire()
    await pair.cut_some(pair.targets[:2], CutMode.RESET)
    lost, _ = await asyncio.wait(in_flight, timeout=1)
    statuses = {task.result()[0] for task in lost}
    await pair.heal_all()
    return statuses


async def test_request_is_served_once_its_targets_are_seen_to_serve_on(
    store_standin: StandinStore, store_address: str, tmp_path: pathlib.Path
) -> None:
    """All hosts lost their links to two targets, which went on running."""
    arrived = asyncio.Semaphore(0)
    answering = asyncio.Event()

    async def respond(request: web.Request) -> web.Response:
        arrived.release()
        if request.path.startswith('/unsafe/'):
            await answering.wait()
        return await respond_with_events(request)

    async with run_pair(
        store_address, store_standin, tmp_path, handler=respond
    ) as pair:
        assert await lose_answers(pair, arrived) == {502}
        answering.set()
        status, _ = await pair.request(0, 'unsafe', 'refused')
        assert status == REFUSED

        await asyncio.sleep(SETTLED_S)
        for number in range(IN_FLIGHT):
            status, _ = await pair.request(1, 'safe', f'other-{number}')
            assert status == 200
        for host in (1, 0):
            status, _ = await pair.request(host, 'unsafe', f'later-{host}')
            assert status == 200
            await asyncio.sleep(1)
