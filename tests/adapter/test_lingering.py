"""A connection that a stopping host closes lingers, within bounds."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest
from geranium_platform.lingering import LingeringCloses, LingeringTransport

from .test_planned_stop import (
    GRACE_S,
    outcomes_until_stopped,
    stop,
    wait_until_stopping,
)
from .waits import ticks

LARGE = 100_000  # bytes, more than a caller takes that does not read
MAX_BYTES = 100_000
PART = bytes(20_000)
LATE_S = 20  # after a grace period, on a machine under load


class Serving(asyncio.Protocol):
    """Sends an answer to each caller and closes its connection."""

    def __init__(self, served: 'Served') -> None:
        self._served = served

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._served.accepted += 1
        transport = LingeringTransport(transport, self._served.closes)
        transport.write(bytes(LARGE))
        transport.close()
        assert transport.is_closing()

    def connection_lost(self, exc: Exception | None) -> None:
        self._served.ended += 1


class Served:
    """An address whose connections linger; it counts those that ended."""

    def __init__(self, closes: LingeringCloses) -> None:
        self.closes = closes
        self.accepted = 0
        self.ended = 0
        self.port = 0

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Serve callers within the context."""
        server = await asyncio.get_running_loop().create_server(
            lambda: Serving(self), '127.0.0.1', 0
        )
        self.port = server.sockets[0].getsockname()[1]
        yield
        self.closes.close()
        server.close()

    async def connect(self) -> socket.socket:
        """Connect a caller, and return once its answer is being sent."""
        count = self.accepted
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, ('127.0.0.1', self.port))
        async for _ in ticks():
            if self.accepted > count:
                return caller
        raise AssertionError('not served')

    async def wait_for_ended(self, count: int) -> None:
        async for _ in ticks():
            if self.ended == count:
                return


@pytest.fixture
async def served() -> AsyncIterator[Served]:
    served = Served(LingeringCloses(max_connections=2, max_bytes=MAX_BYTES))
    async with served.run():
        yield served


async def receive(caller: socket.socket) -> int:
    """Return how many bytes a caller receives until the end."""
    loop = asyncio.get_running_loop()
    count = 0
    while part := await loop.sock_recv(caller, LARGE):
        count += len(part)
    return count


# The close reset connections on which callers had sent more, and they lost
# what they had not received yet.
async def test_caller_that_sends_on_receives_the_rest(served: Served) -> None:
    caller = await served.connect()
    loop = asyncio.get_running_loop()
    for _ in range(MAX_BYTES // len(PART)):
        await loop.sock_sendall(caller, PART)

    assert await receive(caller) == LARGE
    assert served.closes.count == 1
    caller.close()
    await served.wait_for_ended(1)
    assert served.closes.count == 0


# Callers that send without end would be read from until the process ends.
async def test_caller_that_sends_more_than_the_limit_is_closed(
    served: Served,
) -> None:
    caller = await served.connect()
    receiving = asyncio.create_task(receive(caller))
    loop = asyncio.get_running_loop()
    with pytest.raises(ConnectionError):
        async for _ in ticks():
            await loop.sock_sendall(caller, PART)

    await served.wait_for_ended(1)
    assert served.closes.count == 0
    with contextlib.suppress(ConnectionError):
        await receiving
    caller.close()


# Connections of callers that never close would pile up.
async def test_connections_beyond_the_limit_are_closed_at_once(
    served: Served,
) -> None:
    callers = [await served.connect() for _ in range(3)]

    received = await asyncio.gather(*map(receive, callers))

    assert received == [LARGE for _ in callers]
    await served.wait_for_ended(1)
    assert served.closes.count == 2
    for caller in callers:
        caller.close()


async def test_end_closes_all_connections_and_those_to_come(
    served: Served,
) -> None:
    caller = await served.connect()
    assert await receive(caller) == LARGE
    served.closes.close()
    await served.wait_for_ended(1)
    late = await served.connect()

    assert await receive(late) == LARGE
    assert served.closes.count == 0
    await served.wait_for_ended(2)
    caller.close()
    late.close()


# The process would be killed at the end of its grace period.
async def test_stopping_host_ends_in_time_though_a_caller_stays(
    capfd, world
) -> None:
    host, _, port = world.settings.listen.front.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    stop(world.host, GRACE_S)
    await wait_until_stopping(world.host)
    lines = [f'{name}: {text}' for name, text in world.headers().items()]
    head = '\r\n'.join(
        ('POST /safe/x HTTP/1.1', *lines, 'Content-Length: 0', '', '')
    )
    writer.write(head.encode())
    async with asyncio.timeout(GRACE_S + LATE_S):
        assert b'Connection: close' in await reader.read()
        await outcomes_until_stopped(capfd)
    writer.close()
