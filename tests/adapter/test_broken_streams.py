"""A target breaks off an answer without a length or chunks, or never ends it."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest

from .conftest import only_target

HEAD = b'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n\r\n'
HEADER_LINE = b'X-Line: x\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
MAX_BODY_BYTES = 16777216
EVENTS = (b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n')


class UnframedTarget:
    """Answers each request with a body that ends with its connection."""

    def __init__(self) -> None:
        self.head = HEAD
        self.body = b''
        self.block = bytes(65536)
        self.endless = False
        self.sent_bytes = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the request of a connection and close it."""
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.head)
        writer.write(self.body)
        await writer.drain()
        while self.endless and not writer.is_closing():
            writer.write(self.block)
            await writer.drain()
            self.sent_bytes += len(self.block)
        writer.close()


@pytest.fixture
async def unframed(world) -> AsyncIterator[UnframedTarget]:
    """Replace the target of the world by one without framing."""
    target = UnframedTarget()
    async with only_target(world, target.serve):
        yield target


async def test_stream_that_closes_inside_an_event_is_not_framed_as_complete(
    world, unframed
) -> None:
    unframed.body = EVENTS[0] + EVENTS[1][:-3]

    async with world.caller.post(
        world.url('/streaming/x'), headers=world.headers()
    ) as response:
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.read()


async def test_stream_that_closes_before_its_first_event_fails(
    world, unframed
) -> None:
    async with world.caller.post(
        world.url('/streaming/x'), headers=world.headers()
    ) as response:
        assert response.status == 502


async def test_stream_that_closes_after_an_event_is_complete(
    world, unframed
) -> None:
    unframed.body = b''.join(EVENTS)

    async with world.caller.post(
        world.url('/streaming/x'), headers=world.headers()
    ) as response:
        assert await response.read() == unframed.body


async def test_body_without_end_is_given_up(world, unframed) -> None:
    unframed.endless = True

    async with world.caller.post(
        world.url('/unsafe/x'), headers=world.headers()
    ) as response:
        assert response.status == 502

    assert unframed.sent_bytes < 2 * MAX_BODY_BYTES


@pytest.mark.parametrize(
    ('head', 'block'),
    [
        (b'HTTP/1.1 200 OK\r\n', HEADER_LINE),
        (b'HTTP/1.1 200 OK\r\n', b'x' * len(HEADER_LINE)),
        (b'', CONTINUE),
    ],
    ids=['headers', 'header', 'informational'],
)
async def test_head_without_end_is_given_up(
    world, unframed, head: bytes, block: bytes
) -> None:
    unframed.head = head
    unframed.block = block
    unframed.endless = True

    async with world.caller.post(
        world.url('/unsafe/x'), headers=world.headers()
    ) as response:
        assert response.status in {502, 504}

    assert unframed.sent_bytes < MAX_BODY_BYTES
