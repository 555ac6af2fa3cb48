"""A target sends a second copy of an answer, late, on a kept connection."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from .conftest import only_target
from .waits import ticks


class RepeatingTarget:
    """Answers each request with its id, and the first one twice."""

    def __init__(self) -> None:
        self.copies_sent = asyncio.Event()
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of a connection."""
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                answer = _answer(head)
                writer.write(answer)
                await writer.drain()
                if not self.copies_sent.is_set():
                    writer.write(answer)
                    await writer.drain()
                    self.copies_sent.set()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def _answer(head: bytes) -> bytes:
    names = dict(
        line.split(b': ', 1) for line in head.split(b'\r\n')[1:] if line
    )
    identity = names[b'Request-Id']
    return b'\r\n'.join(
        (
            b'HTTP/1.1 200 OK',
            b'Response-Signature: s',
            b'Request-Id: %b' % identity,
            b'Content-Length: %d' % len(identity),
            b'',
            identity,
        )
    )


@pytest.fixture
async def repeating(world) -> AsyncIterator[RepeatingTarget]:
    """Replace the target of the world by one that repeats an answer."""
    target = RepeatingTarget()
    async with only_target(world, target.serve):
        yield target


async def test_no_caller_gets_the_copy(world, repeating) -> None:
    bodies_by_id = {}
    number = 0
    async for _ in ticks():
        number += 1
        identity = f'r{number}'
        async with world.caller.post(
            world.url('/safe/x'), headers=world.headers(Request_Id=identity)
        ) as response:
            bodies_by_id[identity] = response.status, await response.text()
        if number == 5:
            break

    assert repeating.copies_sent.is_set()
    for identity, (status, body) in bodies_by_id.items():
        assert status != 200 or body == identity
    assert bodies_by_id['r5'] == (200, 'r5')
