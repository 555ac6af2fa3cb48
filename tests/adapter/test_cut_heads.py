"""A response whose head is cut is no response, wherever it is read.

Another operator's report: a target stopped in the middle of the head of its
response and closed, and callers got a success with an empty or short body.
"""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator

import geranium_relay as relay
import pytest
from geranium_coordination import StoreError
from geranium_platform.cloud import Cloud
from geranium_platform.object_store import PlatformStore

from .conftest import World, only_target
from .target_caller import TargetCaller, calling
from .waits import wait_for

STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
NAMED = b'Request-Id: %s\r\nResponse-Signature: s\r\nWeight-Versions: 1\r\n'
HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'
LENGTH = b'Content-Type: text/event-stream\r\nContent-Length: 16\r\n\r\n'
CHUNKS = (
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
UNFRAMED = b'Content-Type: text/event-stream\r\n\r\n'
EMPTY = b'Content-Length: 0\r\n\r\n'
HEADS = {
    'length': STATUS_LINE + NAMED + LENGTH,
    'chunks': STATUS_LINE + NAMED + CHUNKS,
    'unframed': STATUS_LINE + NAMED + UNFRAMED,
    'empty': STATUS_LINE + NAMED + EMPTY,
    'after hints': b''.join((HINTS, STATUS_LINE, NAMED, LENGTH)),
}
SHORT = b'Content-Length: 2\r\n\r\nok'
WHOLE = STATUS_LINE + NAMED + SHORT
KINDS = (
    relay.RouteKind.SAFE,
    relay.RouteKind.UNSAFE,
    relay.RouteKind.STREAM,
)


class CuttingServer:
    """Cuts the responses to calls whose id is ``cut``, or that have none."""

    def __init__(self) -> None:
        self.part = b''
        self.address = ''

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self._respond(reader, writer)
        writer.close()

    async def _respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = (await reader.readuntil(b'\r\n\r\n')).lower()
            if b'content-length:' in head:
                length = head.partition(b'content-length:')[2].split()[0]
                await reader.readexactly(int(length))
            if b'request-id: whole' not in head:
                writer.write(self.part)
                await writer.drain()
                return
            identity = head.partition(b'request-id: ')[2].split()[0]
            writer.write(WHOLE % identity)


@pytest.fixture
async def server() -> AsyncIterator[CuttingServer]:
    cutting = CuttingServer()
    listening = await asyncio.start_server(cutting.serve, '127.0.0.1', 0)
    host, port = listening.sockets[0].getsockname()[:2]
    cutting.address = f'{host}:{port}'
    yield cutting
    listening.close()


def parts(head: bytes) -> list[bytes]:
    """Return all beginnings of a head, from the first byte on."""
    return [head[:length] for length in range(1, len(head))]


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('head', list(HEADS))
async def test_cut_head_of_a_target_is_no_response(
    server: CuttingServer, head: str, kind: relay.RouteKind
) -> None:
    numbers = itertools.count()
    async with calling(server.address) as caller:
        for part in parts(HEADS[head] % b'cut'):
            server.part = part
            # A kept connection, on which the call before got its response.
            await _check_whole(caller, f'whole-{next(numbers)}', kind)
            assert not isinstance(await caller.send('cut', kind), tuple), part
            assert not isinstance(await caller.read_prompt('cut'), str), part


async def _check_whole(
    caller: TargetCaller, identity: str, kind: relay.RouteKind
) -> None:
    assert await caller.send(identity, kind) == (200, b'ok')


@pytest.mark.parametrize('head', list(HEADS))
async def test_cut_head_of_the_store_is_no_empty_list(
    server: CuttingServer, head: str
) -> None:
    store = PlatformStore(relay.StoreSettings(server.address))
    for part in parts(HEADS[head] % b'x'):
        server.part = part
        with pytest.raises(StoreError):
            await store.list_kind('servers')
    await store.cleanup()


@pytest.mark.parametrize('head', list(HEADS))
async def test_cut_head_of_the_provider_accepts_no_report(
    server: CuttingServer, head: str
) -> None:
    log = relay.DecisionLog(relay.LogSettings(), lambda _line: None, float)
    cloud = Cloud(server.address, 'host-1', log)
    for part in parts(HEADS[head] % b'x'):
        server.part = part
        assert not await cloud.report(1, {'team': 1}, 1)
    await cloud.cleanup()


# The body of the failure was the text of the HTTP client's error, with the
# headers that the target had sent.
@pytest.mark.parametrize('kind', ['unsafe', 'streaming'])
async def test_caller_gets_nothing_of_a_cut_head(
    capfd: pytest.CaptureFixture[str], world: World, kind: str
) -> None:
    logged: list[str] = []

    async def is_logged() -> bool:
        logged.append(capfd.readouterr().out)
        return 'closed inside the head of a response' in ''.join(logged)

    async def cut(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        head = HEADS['length'] % b'r1'
        writer.write(head[:-3])
        await writer.drain()
        writer.close()

    async with only_target(world, cut):
        url = world.url(f'/{kind}/x')
        async with world.caller.post(url, headers=world.headers()) as response:
            told = await response.text()

    assert response.status == 502
    assert 'Response-Signature' not in response.headers
    assert 'urn:geraniumdrum:problem:failed' in told
    assert 'head' not in told
    assert 'Signature' not in told
    # What exactly failed is for operators.
    await wait_for(is_logged)
