"""A target's body without framing is cut by a reset, or never ends."""

import asyncio
import contextlib

import pytest
from geranium_standins.connections import reset
from geraniumd.backends import TargetTransport, read_body
from geraniumd.callers.events import MAX_EVENT_BYTES, EventBuffer
from geraniumd.callers.streams import EngineStream
from geraniumd.process import TargetLostError, TargetSettings

BODY = b'half'
BLOCK = bytes(65536)
ANSWER = b'HTTP/1.1 200 OK\r\n\r\n%b' % BODY


EVENT = b'id: r1:0\ndata: {"a": 1}\n\n'
CUT_EVENT = b'id: r1:1\ndata: {"a"'
ERROR = b'HTTP/1.1 500 Failed\r\nContent-Length: 7\r\n\r\nfailed\n\n'


async def read_answer(
    *, is_reset: bool = False, is_endless: bool = False
) -> bytes:
    """Return the body of a target that ends it with its connection, if ever."""
    head_arrived = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(ANSWER)
        await head_arrived.wait()
        while is_endless and not writer.is_closing():
            writer.write(BLOCK)
            await writer.drain()
        if is_reset:
            reset(writer.transport)
        else:
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    transport = TargetTransport(TargetSettings())
    try:
        response = await transport.send('GET', f'http://127.0.0.1:{port}/')
        head_arrived.set()
        return await read_body(response)
    finally:
        await transport.close()
        server.close()


async def test_body_that_is_reset_is_not_complete() -> None:
    with pytest.raises(TargetLostError):
        await read_answer(is_reset=True)


async def test_body_that_ends_with_its_connection_is_complete() -> None:
    assert await read_answer() == BODY


async def test_body_without_end_is_given_up() -> None:
    async with asyncio.timeout(30):
        with pytest.raises(TargetLostError):
            await read_answer(is_endless=True)


def test_event_without_end_is_noticed() -> None:
    buffer = EventBuffer('r1')

    buffer.feed(b'id: r1:0\n')
    assert buffer.defect is None

    buffer.feed(bytes(MAX_EVENT_BYTES))
    assert buffer.defect == 'event without end'


def test_event_with_a_malformed_offset_is_dropped() -> None:
    buffer = EventBuffer('r1')

    batch = buffer.feed(b'id: r1:x\ndata: a\n\n')

    assert not batch.data
    assert buffer.dropped_count == 1


@pytest.mark.parametrize('offset', [b'', b'-1', b' 0', b'9' * 5000])
def test_event_with_an_unreadable_offset_is_dropped(offset: bytes) -> None:
    buffer = EventBuffer('r1')

    event = b''.join((b'id: r1:', offset, b'\ndata: a\n\n'))
    batch = buffer.feed(event)

    assert not batch.data
    assert buffer.dropped_count == 1
    assert not buffer.has_gap


@pytest.mark.parametrize(
    'cut',
    [b'', CUT_EVENT, b'%b\n' % CUT_EVENT, b'id: r1:1\n'],
    ids=['after an event', 'in data', 'after data', 'after an id'],
)
async def test_error_inside_a_stream_reaches_no_caller(cut: bytes) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n%b%b%b' % (EVENT, cut, ERROR))
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    transport = TargetTransport(TargetSettings())
    response = await transport.send('GET', f'http://127.0.0.1:{port}/')
    stream = EngineStream(response, EventBuffer('r1'))
    received = []

    with pytest.raises(TargetLostError):
        async for batch in stream.batches():
            received.append(batch.data)

    assert received == [EVENT]
    await transport.close()
    server.close()


class Engines:
    """Gives one body after the other, each on a connection of its own."""

    def __init__(self, *bodies: bytes) -> None:
        self._bodies = list(bodies)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n%b' % self._bodies.pop(0))
        writer.close()


@pytest.mark.parametrize(
    'broken',
    [CUT_EVENT, CUT_EVENT[:4], b'id: r1:7\ndata: {}\n\n', ERROR],
    ids=['in data', 'in an id', 'skipped', 'error'],
)
async def test_next_engine_goes_on_where_the_whole_events_end(
    broken: bytes,
) -> None:
    rest = b'id: r1:1\ndata: {"b": 2}\n\n'
    done = b'id: r1:2\ndata: [DONE]\n\n'
    engines = Engines(EVENT + broken, rest + done)
    server = await asyncio.start_server(engines.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    transport = TargetTransport(TargetSettings())
    buffer = EventBuffer('r1')
    received = []

    for _ in range(2):
        response = await transport.send('GET', f'http://127.0.0.1:{port}/')
        with contextlib.suppress(TargetLostError):
            async for batch in EngineStream(response, buffer).batches():
                received.append(batch.data)

    assert b''.join(received) == EVENT + rest + done
    await transport.close()
    server.close()
