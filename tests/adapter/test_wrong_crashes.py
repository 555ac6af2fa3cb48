"""Requests that were taken for the cause of crashes are served again."""

import asyncio
import pathlib

from aiohttp import web
from geranium_platform_standins import StandinStore
from geranium_standins.host_links import CutMode

from .host_pair import Pair, respond_with_events, response_headers, run_pair

IN_FLIGHT = 6
EARLY = 'early'
SETTLED_S = 10.5  # a target that serves on after 10 s has not crashed
TOLD_S = 1  # by now the other host knows
REFUSED = 503


class HeldTargets:
    """Targets that hold unsafe requests back until they may answer.

    Those before the cut fail, so that they clear no request like them.
    """

    def __init__(self) -> None:
        self.arrived = asyncio.Semaphore(0)
        self.answering = asyncio.Event()

    async def respond(self, request: web.Request) -> web.Response:
        """Respond to a request."""
        self.arrived.release()
        if request.path.startswith('/unsafe/'):
            await self.answering.wait()
        if request.headers['Request-Id'].startswith(EARLY):
            return web.Response(status=500, headers=response_headers(request))
        return await respond_with_events(request)


async def lose_answers(pair: Pair, held: HeldTargets) -> None:
    """Cut all hosts from two targets under requests, which are then refused."""
    in_flight = [
        asyncio.create_task(pair.request(0, 'unsafe', f'{EARLY}-{number}'))
        for number in range(IN_FLIGHT)
    ]
    for _ in in_flight:
        await held.arrived.acquire()
    await pair.cut_some(pair.targets[:2], CutMode.RESET)
    lost, _ = await asyncio.wait(in_flight, timeout=1)
    assert {task.result()[0] for task in lost} == {502}
    held.answering.set()
    for host in (0, 1):
        status, _ = await pair.request(host, 'unsafe', f'refused-{host}')
        assert status == REFUSED


async def test_request_is_served_once_its_targets_are_seen_to_serve_on(
    store_standin: StandinStore, store_address: str, tmp_path: pathlib.Path
) -> None:
    """All hosts lost their links to two targets, which went on running."""
    held = HeldTargets()
    async with run_pair(
        store_address, store_standin, tmp_path, handler=held.respond
    ) as pair:
        await lose_answers(pair, held)
        await pair.heal_all()
        await asyncio.sleep(SETTLED_S)
        for number in range(IN_FLIGHT):
            status, _ = await pair.request(1, 'safe', f'other-{number}')
            assert status == 200
        for host in (1, 0):
            status, _ = await pair.request(host, 'unsafe', f'later-{host}')
            assert status == 200
            await asyncio.sleep(TOLD_S)


async def test_request_is_served_after_one_trial_though_its_targets_are_gone(
    store_standin: StandinStore, store_address: str, tmp_path: pathlib.Path
) -> None:
    held = HeldTargets()
    async with run_pair(
        store_address, store_standin, tmp_path, handler=held.respond
    ) as pair:
        await lose_answers(pair, held)
        await asyncio.sleep(SETTLED_S)
        held.answering.clear()
        tried = [
            asyncio.create_task(pair.request(host, 'unsafe', f'tried-{host}'))
            for host in (0, 1)
        ]
        done, under_way = await asyncio.wait(tried, timeout=TOLD_S)
        assert [task.result()[0] for task in done] == [REFUSED]
        held.answering.set()
        for task in under_way:
            assert (await task)[0] == 200
        await asyncio.sleep(TOLD_S)

        for host in (0, 1):
            status, _ = await pair.request(host, 'unsafe', f'later-{host}')
            assert status == 200
