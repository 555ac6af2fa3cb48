"""Callers that leave, and a target that notes what it works on."""

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections.abc import AsyncIterator, Sequence
from typing import Self, TypeAlias

from .bare_exchange import read_message
from .waits import ticks

LONG_MS = 60_000  # no test waits for it
NOTICED_S = 10  # long before any deadline
EVENT_S = 0.05
UNREAD_BYTES = 4096  # received by a target that does not read
_RESET = struct.pack('ii', 1, 0)
_HEAD = (
    'HTTP/1.1 200 OK\r\nRequest-Id: {identity}\r\n'
    'Response-Signature: s\r\nContent-Type: text/event-stream\r\n'
)


@dataclasses.dataclass(frozen=True, slots=True)
class Responds:
    """A target that responds at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Streams:
    """A target that streams events until its connection ends."""

    event_bytes: int = 20


@dataclasses.dataclass(frozen=True, slots=True)
class KeepsSilent:
    """A target that works without a word until its connection ends."""


Behaviour: TypeAlias = Responds | Streams | KeepsSilent


@dataclasses.dataclass(slots=True)
class Work:
    """What a target does for one request, and whether that has ended."""

    has_ended: bool = False


class WorkingTarget:
    """Works on requests, and keeps which ones have reached it.

    ``reads`` is set while it reads what arrives on its connections.
    """

    def __init__(self) -> None:
        self.works_by_identity: dict[str, Work] = {}
        self.behaviour: Behaviour = Responds()
        self.reads = asyncio.Event()
        self.reads.set()
        self._writers: set[asyncio.StreamWriter] = set()

    @contextlib.asynccontextmanager
    async def listening(self) -> AsyncIterator[str]:
        """Serve connections on a free port and yield the address."""
        bound = socket.create_server(('127.0.0.1', 0))
        # Connections inherit the size; it has to be set before they open.
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
        server = await asyncio.start_server(self._serve, sock=bound)
        async with server:
            host, port = bound.getsockname()
            yield f'{host}:{port}'

    async def wait_for(self, identity: str) -> None:
        """Return once a request has arrived; fail after 40 s."""
        async for _ in ticks():
            if identity in self.works_by_identity:
                return

    async def drop_connections(self) -> None:
        """Close the connections that callers keep for later requests."""
        for writer in tuple(self._writers):
            writer.close()
        async for _ in ticks():
            if not self._writers:
                return

    async def is_idle_in_time(self) -> bool:
        """Return whether all work ends that nobody waits for."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(NOTICED_S):
                await self._idle()
        return self._is_idle()

    async def _idle(self) -> None:
        async for _ in ticks():
            if self._is_idle():
                return

    def _is_idle(self) -> bool:
        works = self.works_by_identity.values()
        return all(work.has_ended for work in works)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        writer.transport.pause_reading()
        await self.reads.wait()
        writer.transport.resume_reading()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await self._serve_call(reader, writer)
        self._writers.discard(writer)
        writer.transport.abort()

    async def _serve_call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        message = await read_message(reader)
        identity = message.texts_by_name()['request-id'][0]
        work = self.works_by_identity.setdefault(identity, Work())
        head = _HEAD.format(identity=identity).encode()
        match self.behaviour:
            case Responds():
                writer.write(b'%bContent-Length: 2\r\n\r\nok' % head)
            case Streams(event_bytes=size):
                await _stream(reader, writer, head, b'x' * size)
            case KeepsSilent():
                await _until_end(reader)
        work.has_ended = True


async def _stream(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    head: bytes,
    filler: bytes,
) -> None:
    streaming = asyncio.create_task(_write_events(writer, head, filler))
    try:
        await _until_end(reader)
    finally:
        streaming.cancel()


async def _write_events(
    writer: asyncio.StreamWriter, head: bytes, filler: bytes
) -> None:
    writer.write(b'%bTransfer-Encoding: chunked\r\n\r\n' % head)
    number = 0
    while True:
        number += 1
        event = b'id: %d\ndata: %b\n\n' % (number, filler)
        writer.write(b'%x\r\n%b\r\n' % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_S)


async def _until_end(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        await reader.read(1)


@dataclasses.dataclass(slots=True)
class Caller:
    """A caller on a bare connection, which reads only when it is told."""

    connected: socket.socket

    @classmethod
    async def connect(
        cls, address: tuple[str, int], *, receive_bytes: int | None = None
    ) -> Self:
        """Open a connection to a host."""
        connected = socket.socket()
        connected.setblocking(False)
        if receive_bytes is not None:
            connected.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        await asyncio.get_running_loop().sock_connect(connected, address)
        return cls(connected)

    async def send(self, data: bytes) -> None:
        """Send bytes, or as many as the host takes in a moment."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                await loop.sock_sendall(self.connected, data)

    async def read(self) -> bytes:
        """Return some bytes."""
        loop = asyncio.get_running_loop()
        return await loop.sock_recv(self.connected, 65536)

    def leave(self, how: str) -> None:
        """Leave by ``fin``, ``reset`` or ``half-close``."""
        if how == 'half-close':
            self.connected.shutdown(socket.SHUT_WR)
            return
        if how == 'reset':
            self.connected.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET
            )
        self.connected.close()


def request(
    identity: str,
    kind: str = 'streaming',
    method: str = 'POST',
    body: bytes = b'body',
    lines: Sequence[str] = (),
) -> bytes:
    """Return a request; one with ``GET`` has no body."""
    if method == 'GET':
        body = b''
    head = '\r\n'.join(
        (
            f'{method} /{kind}/x HTTP/1.1',
            'Host: example',
            'Authorization: Bearer key',
            f'Request-Id: {identity}',
            f'Deadline-Ms: {LONG_MS}',
            f'Content-Length: {len(body)}',
            *lines,
            '',
            '',
        )
    )
    return head.encode() + body
