"""Hosts that reach no target serve their callers through other hosts."""

import asyncio
import pathlib
from collections.abc import AsyncIterator

import pytest
from aiohttp import web
from geranium_platform_standins import StandinStore
from geranium_standins.host_links import CutMode

from .host_pair import Pair, respond_with_events, run_pair

SETTLE_S = 2.0  # the cut must be compensated within 3 s
REQUESTS_PER_KIND = 6
KINDS = ('safe', 'unsafe', 'streaming')
IN_FLIGHT = 6


@pytest.fixture
async def pair(
    store_standin: StandinStore, store_address: str, tmp_path: pathlib.Path
) -> AsyncIterator[Pair]:
    async with run_pair(store_address, store_standin, tmp_path) as running:
        yield running


async def send_all(pair: Pair, host: int, prefix: str) -> dict[str, int]:
    """Send some requests of each kind; return the statuses by id."""
    statuses_by_id = {}
    for number in range(REQUESTS_PER_KIND):
        for kind in KINDS:
            identity = f'{prefix}-{kind}-{number}'
            status, _ = await pair.request(host, kind, identity)
            statuses_by_id[identity] = status
    return statuses_by_id


@pytest.mark.parametrize('mode', list(CutMode))
async def test_cut_host_serves_its_callers_as_well_as_the_others(
    pair: Pair, mode: CutMode
) -> None:
    assert set((await send_all(pair, 0, 'before')).values()) == {200}
    await pair.cut(0, mode)
    async with asyncio.timeout(SETTLE_S):
        await asyncio.gather(
            *(
                pair.request(0, 'safe', f'during-{number}')
                for number in range(4)
            )
        )

    statuses_by_id = await send_all(pair, 0, 'cut')

    assert set(statuses_by_id.values()) == {200}
    assert {pair.runs_of(identity) for identity in statuses_by_id} == {1}


async def test_reset_links_of_one_host_crash_no_target(
    store_standin: StandinStore, store_address: str, tmp_path: pathlib.Path
) -> None:
    """All requests are alike, so that two crashes would make them suspects."""
    arrived = asyncio.Semaphore(0)
    answering = asyncio.Event()

    async def respond(request: web.Request) -> web.Response:
        arrived.release()
        await answering.wait()
        return await respond_with_events(request)

    async with run_pair(
        store_address, store_standin, tmp_path, handler=respond
    ) as pair:
        in_flight = [
            asyncio.create_task(pair.request(0, 'unsafe', f'early-{number}'))
            for number in range(IN_FLIGHT)
        ]
        for _ in in_flight:
            await arrived.acquire()
        await pair.cut(0, CutMode.RESET)
        lost = await asyncio.gather(*in_flight)
        answering.set()
        assert {status for status, _ in lost} == {502}

        for host in (1, 0):
            status, _ = await pair.request(host, 'unsafe', f'later-{host}')
            assert status == 200

        await pair.hosts[0].links.heal()
        assert (await pair.request(0, 'unsafe', 'healed'))[0] == 200
