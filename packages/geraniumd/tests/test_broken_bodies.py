"""A target's body without framing is cut by a reset of its connection."""

import asyncio

import pytest
from geranium_standins.connections import reset
from geraniumd.backends import TargetTransport, read_body
from geraniumd.process import TargetLostError, TargetSettings

BODY = b'half'
ANSWER = b'HTTP/1.1 200 OK\r\n\r\n%b' % BODY


async def read_answer(*, is_reset: bool) -> bytes:
    """Return the body of a target that ends it with its connection."""
    head_arrived = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(ANSWER)
        await head_arrived.wait()
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
    assert await read_answer(is_reset=False) == BODY
