"""Bytes without end from a server have a bound, in a head and in a body.

Another operator's report: a faulty server sent bytes that were no answer until
the caller closed, and the machine that had called it ran out of memory.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
from collections.abc import AsyncIterator

import geranium_relay as relay
import pytest
from aiohttp import web
from geranium_coordination import StoreError, Unconditional
from geranium_platform.cloud import Cloud
from geranium_platform.object_store import HistoryGone, PlatformStore
from geranium_platform_standins import StandinStore
from geranium_standins.host_links import CutMode

from .bare_exchange import END, encode
from .conftest import World, only_target
from .host_pair import Pair, respond_with_events, response_headers, run_pair
from .raw_servers import listening, named_id
from .target_caller import calling
from .waits import wait_for

MEGABYTE = 1_000_000
# The longest body, and what the buffers of a loopback connection take besides.
MAX_SENT_BYTES = 40 * MEGABYTE
GIVEN_UP_BYTES = 4 * MAX_SENT_BYTES  # the server itself stops there
BLOCK = b'x' * 8192
OK = b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n'
CHUNKED = b''.join((OK, b'Transfer-Encoding: chunked\r\n\r\n'))
FAILED = OK.replace(b'200 OK', b'500 Failed')
# What a response begins with, and what follows again and again.
FORMS = {
    'line': (b'HTTP/1.1 200 OK\r\nX: ', BLOCK),
    'lines': (b'HTTP/1.1 200 OK\r\n', b'X: y\r\n' * 1000),
    'status': (b'HTTP/1.1 200 ', BLOCK),
    'no head': (b'', BLOCK),
    'empty lines': (b'', b'\r\n' * 4096),
    'informational': (b'', b'HTTP/1.1 102 P\r\nX: y\r\n\r\n' * 100),
    'chunk size': (CHUNKED, b'0' * 8192),
    'chunk extension': (b''.join((CHUNKED, b'1;a=')), BLOCK),
    'trailer': (b''.join((CHUNKED, b'0\r\nX: ')), BLOCK),
    'trailers': (b''.join((CHUNKED, b'0\r\n')), b'X: y\r\n' * 1000),
    'chunks': (CHUNKED, b''.join((b'2000\r\n', BLOCK, b'\r\n'))),
    'length': (b''.join((OK, b'Content-Length: 99999999999\r\n\r\n')), BLOCK),
    'unframed': (b''.join((OK, b'\r\n')), BLOCK),
    'failure': (b''.join((FAILED, b'\r\n')), BLOCK),
}


class EndlessServer:
    """Answers each call with bytes until the caller closes."""

    def __init__(self) -> None:
        self.address = ''
        self.form = ''
        self.sent_bytes = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(END)).lower()
            beginning, block = FORMS[self.form]
            writer.write(beginning.replace(b'%s', named_id(head)))
            while self.sent_bytes < GIVEN_UP_BYTES:
                writer.write(block)
                await writer.drain()
                self.sent_bytes += len(block)
        writer.close()


@pytest.fixture(params=FORMS)
async def server(
    request: pytest.FixtureRequest,
) -> AsyncIterator[EndlessServer]:
    endless = EndlessServer()
    endless.form = request.param
    async with listening(endless.serve) as address:
        endless.address = address
        yield endless


async def test_call_to_a_target_is_given_up(server: EndlessServer) -> None:
    async with calling(server.address) as caller:
        assert await caller.send('r1') is relay.AnswerLostError
        assert server.sent_bytes < MAX_SENT_BYTES
        assert await caller.read_prompt('r2') is relay.AnswerLostError
    assert server.sent_bytes < 2 * MAX_SENT_BYTES


async def test_calls_to_the_store_are_given_up(server: EndlessServer) -> None:
    store = PlatformStore(relay.StoreSettings(server.address))
    with pytest.raises(StoreError):
        await store.list_kind('servers')
    assert server.sent_bytes < MAX_SENT_BYTES
    with pytest.raises(StoreError):
        await store.write('usage/counts/h', {}, Unconditional())
    assert server.sent_bytes < 2 * MAX_SENT_BYTES
    await store.cleanup()


async def test_report_to_the_provider_is_given_up(
    server: EndlessServer,
) -> None:
    log = relay.DecisionLog(relay.LogSettings(), lambda _line: None, float)
    cloud = Cloud(server.address, 'host-1', log)

    assert not await cloud.report(1, {'team': 1}, 1)
    assert server.sent_bytes < MAX_SENT_BYTES
    await cloud.cleanup()


@pytest.mark.parametrize('kind', ['safe', 'unsafe', 'streaming'])
async def test_callers_get_failures(
    server: EndlessServer, world: World, kind: str
) -> None:
    async with only_target(world, server.serve):
        statuses = []
        for _ in range(3):
            server.sent_bytes = 0
            async with world.caller.post(
                world.url(f'/{kind}/x'), headers=world.headers()
            ) as response:
                statuses.append(response.status)
            assert server.sent_bytes < 2 * MAX_SENT_BYTES
    failures = {500} if server.form == 'failure' else {502, 503, 504}
    assert set(statuses) <= failures | {502}


async def test_changes_without_end_are_listed_afresh(
    store_standin: StandinStore, store_address: str
) -> None:
    """A watch from the same revision would bring them again and again."""
    settings = relay.StoreSettings(store_address, max_response_bytes=MEGABYTE)
    store = PlatformStore(settings)
    listing = await store.list_kind('config')
    store_standin.put('config', 'main', {'text': 'x' * 2 * MEGABYTE})

    changes = await store.watch_kind('config', listing.version, 1)

    assert changes == HistoryGone()
    await store.cleanup()


class EndlessEvents:
    """Sends events for as long as its caller takes them."""

    def __init__(self) -> None:
        self.sent_bytes = 0

    async def respond(self, request: web.Request) -> web.StreamResponse:
        if request.path.startswith('/safe/'):
            return await respond_with_events(request)
        response = web.StreamResponse(headers=response_headers(request))
        await response.prepare(request)
        number = 0
        while self.sent_bytes < GIVEN_UP_BYTES:
            number += 1
            event = b'id: %d\ndata: %s\n\n' % (number, BLOCK)
            await response.write(event)
            self.sent_bytes += len(event)
        return response


@dataclasses.dataclass(slots=True)
class Pause:
    """Tells whether a count has stood still since the last question."""

    count: int = -1

    def is_reached(self, count: int) -> bool:
        is_reached = count == self.count
        self.count = count
        return is_reached


@pytest.mark.parametrize('is_forwarded', [False, True])
async def test_caller_that_does_not_read_stops_the_target(
    store_standin: StandinStore,
    store_address: str,
    tmp_path: pathlib.Path,
    is_forwarded: bool,
) -> None:
    events = EndlessEvents()
    async with run_pair(
        store_address, store_standin, tmp_path, handler=events.respond
    ) as pair:
        if is_forwarded:
            await pair.cut(0, CutMode.RESET)
            await wait_for(lambda: is_cut(pair))
        settings = pair.hosts[0].settings
        host, _, port = settings.listen.front.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port), limit=1)
        lines = (
            ('Host', 'example'),
            ('Authorization', 'Bearer key'),
            ('Request-Id', 'slow'),
            ('Deadline-Ms', '4000'),
            ('Content-Length', '0'),
        )
        writer.write(encode('POST /streaming/x HTTP/1.1', lines))
        await reader.read(1)
        pause = Pause()
        while not pause.is_reached(events.sent_bytes):
            status, _ = await pair.request(0, 'safe', 'other')
            assert status == 200
            await asyncio.sleep(0.2)
        assert events.sent_bytes < MAX_SENT_BYTES
        writer.transport.abort()


async def is_cut(pair: Pair) -> bool:
    await pair.request(0, 'safe', 'probe')
    path = pair.hosts[0].host._path
    return path.reach.is_cut('app')
