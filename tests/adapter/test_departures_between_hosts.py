"""A request that was passed on ends when its caller leaves the first host."""

import asyncio
import contextlib
import pathlib
from collections.abc import AsyncIterator

import pytest
from aiohttp import web
from geranium_platform_standins import StandinStore
from geranium_standins.host_links import CutMode

from .departures import LONG_MS, NOTICED_S, Caller, request
from .host_pair import Pair, configuration, respond_with_events, run_pair
from .waits import ticks

WORKING = '/streaming/'
BEHIND = {
    'nothing': b'',
    'twelve-requests': b''.join(request(f'b{number}') for number in range(12)),
}


class Work:
    """Whether a target works, and whether that has been ended."""

    def __init__(self) -> None:
        self.began = asyncio.Event()
        self.ended = asyncio.Event()

    async def respond(self, sent: web.Request) -> web.Response:
        """Work on a stream until its connection ends."""
        if not sent.path.startswith(WORKING):
            return await respond_with_events(sent)
        self.began.set()
        try:
            await asyncio.sleep(LONG_MS)
        finally:
            self.ended.set()
        return await respond_with_events(sent)


@pytest.fixture
def work() -> Work:
    return Work()


@pytest.fixture
async def pair(
    store_standin: StandinStore,
    store_address: str,
    tmp_path: pathlib.Path,
    work: Work,
) -> AsyncIterator[Pair]:
    """Run two hosts, the first of which reaches no target."""
    async with run_pair(
        store_address, store_standin, tmp_path, handler=work.respond
    ) as running:
        store_standin.put('config', 'main', configuration(LONG_MS, version=2))
        await running.cut(0, CutMode.REFUSED)
        async for _ in ticks():
            host = running.hosts[0].host
            catalogue = host.state.view.catalogue
            status, _ = await running.request(0, 'safe', 'before')
            if status == 200 and catalogue and catalogue.version == 2:
                break
        yield running


def front_of(pair: Pair) -> tuple[str, int]:
    """Return the address of the first host."""
    settings = pair.hosts[0].settings
    ip, _, port = settings.listen.front.partition(':')
    return ip, int(port)


@pytest.mark.parametrize('how', ['fin', 'reset', 'half-close'])
@pytest.mark.parametrize('behind', BEHIND.values(), ids=BEHIND.keys())
async def test_end_at_the_first_host_ends_the_work_of_the_second(
    pair: Pair, work: Work, behind: bytes, how: str
) -> None:
    caller = await Caller.connect(front_of(pair))
    await caller.send(request('a'))
    async with asyncio.timeout(NOTICED_S):
        await work.began.wait()
    await caller.send(behind)

    caller.leave(how)

    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(NOTICED_S):
            await work.ended.wait()
    assert work.ended.is_set()
