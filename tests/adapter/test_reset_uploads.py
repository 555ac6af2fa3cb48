"""A response that is reset under an upload is not complete.

Another operator's report: a target answered a long upload at once with a 200
without a length, sent a part of the body and reset the connection while the
upload was still being written. The caller got that part as a complete response.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable

import aiohttp
import geranium_relay as relay
import pytest
from geranium_coordination import StoreError
from geranium_platform.cloud import Cloud
from geranium_platform.object_store import PlatformStore

from .conftest import World, only_target
from .raw_servers import listening, named_id

UPLOAD_BYTES = 3_000_000  # more than the buffers of a connection take
HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n\r\n'
EVENT = b'id: 1\ndata: a\n\n'
LIST = b'{"items":[],"truncated":false,"storeRevision":7}'
RESET = struct.pack('ii', 1, 0)


class ResettingServer:
    """Answers the head of each call without a length, and resets it."""

    def __init__(self) -> None:
        self.address = ''
        self.part = EVENT
        self.pause_s: float = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            head = (await reader.readuntil(b'\r\n\r\n')).lower()
            writer.write(HEAD % named_id(head))
            writer.write(self.part)
            await asyncio.sleep(self.pause_s)
            connected: socket.socket = writer.get_extra_info('socket')
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()


@pytest.fixture
async def server() -> AsyncIterator[ResettingServer]:
    resetting = ResettingServer()
    # It reads no more than a small part of an upload.
    async with listening(resetting.serve, limit=16384) as address:
        resetting.address = address
        yield resetting


@pytest.mark.parametrize('pause_s', [0, 0.05])
@pytest.mark.parametrize('kind', ['safe', 'unsafe', 'streaming'])
@pytest.mark.parametrize('size', [4, UPLOAD_BYTES])
async def test_caller_gets_no_complete_success(
    server: ResettingServer,
    world: World,
    kind: str,
    size: int,
    pause_s: float,
) -> None:
    server.pause_s = pause_s
    async with only_target(world, server.serve):
        is_complete = await _is_complete(
            world, lambda: world.url(f'/{kind}/x'), bytes(size)
        )

    assert not is_complete


async def _is_complete(
    world: World, url: Callable[[], str], body: bytes
) -> bool:
    """Return whether a caller gets a success that looks complete."""
    async with world.caller.post(
        url(), headers=world.headers(), data=body
    ) as response:
        try:
            await response.read()
        except aiohttp.ClientPayloadError:
            return False
        return response.ok


@pytest.mark.parametrize('part', [LIST, LIST[:-1], b''])
async def test_list_that_is_reset_is_none(
    server: ResettingServer, part: bytes
) -> None:
    server.part = part
    store = PlatformStore(relay.StoreSettings(server.address))
    with pytest.raises(StoreError):
        await store.list_kind('servers')
    await store.cleanup()


async def test_report_whose_response_is_reset_is_not_taken(
    server: ResettingServer,
) -> None:
    log = relay.DecisionLog(relay.LogSettings(), lambda _line: None, float)
    cloud = Cloud(server.address, 'host-1', log)

    assert not await cloud.report(1, {'team': 1}, 1)
    await cloud.cleanup()
