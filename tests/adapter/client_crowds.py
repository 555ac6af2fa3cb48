"""Clients that misuse the listeners of a host."""

import asyncio
import contextlib
import dataclasses
import itertools
import socket
import struct
from collections.abc import AsyncIterator, Callable, Iterator, Sequence

from .limited_host import LimitedHost, Usage

BODY_BYTES = 4_000_000  # within maxBodyBytes
ANSWER_BYTES = 200_000
LARGE_ANSWER_BYTES = 2_000_000
STREAM_BYTES = 20_000_000
PIPELINED = 400
CHUNK_BYTES = 8000
PIECE_BYTES = 65536
HEADER_BYTES = 60_000  # of one line
DEADLINE_MS = 8000
PEER_MESSAGE_BYTES = 33_000_000
QUIET_S = 1.5  # a crowd whose clients have sent nothing for so long waits
MAX_CROWD_S = 10  # of a crowd that goes on sending
SAMPLE_S = 0.1

Parts = AsyncIterator[bytes]
_identities = itertools.count()


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """What one client sends.

    Args:
        parts: Returns what it sends, piece by piece.
        half_closes: Whether it ends its sending side afterwards.
    """

    parts: Callable[[], Parts]
    half_closes: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Clients of one kind at one listener of a host."""

    listener: str
    client: Client
    count: int


class Crowd:
    """Connected clients that read nothing and stay until they are closed."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, address: tuple[str, int], client: Client) -> None:
        """Connect a client, which begins to send."""
        self._tasks.append(asyncio.create_task(self._run(address, client)))

    async def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connected in self._sockets:
            connected.close()

    async def _run(self, address: tuple[str, int], client: Client) -> None:
        connected = socket.socket()
        connected.setblocking(False)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._sockets.append(connected)
        loop = asyncio.get_running_loop()
        # A client that the host refuses or closes stays away.
        with contextlib.suppress(OSError):
            await loop.sock_connect(connected, address)
            async for part in client.parts():
                for piece in _pieces(part):
                    await loop.sock_sendall(connected, piece)
                    self.sent_bytes += len(piece)
            if client.half_closes:
                connected.shutdown(socket.SHUT_WR)


async def meet_crowd(
    host: LimitedHost, crowd: Crowd, groups: Sequence[Group]
) -> Usage:
    """Start a crowd; return the most that the host holds until all wait."""
    for group in groups:
        for _ in range(group.count):
            crowd.start(host.addresses[group.listener], group.client)
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + MAX_CROWD_S
    quiet_at = loop.time() + QUIET_S
    sent_bytes, most = 0, Usage()
    while loop.time() < min(ends_at, quiet_at):
        await asyncio.sleep(SAMPLE_S)
        if crowd.sent_bytes != sent_bytes:
            sent_bytes = crowd.sent_bytes
            quiet_at = loop.time() + QUIET_S
        most.add(host.usage())
    return most


async def body_without_end() -> Parts:
    """Yield a request whose body lacks its last byte."""
    yield _request('POST', '/safe/x?size=3', f'Content-Length: {BODY_BYTES}')
    yield bytes(BODY_BYTES - 1)


async def chunks_without_end() -> Parts:
    """Yield a request in chunks, without the last one."""
    yield _request('POST', '/safe/x?size=3', 'Transfer-Encoding: chunked')
    chunk = b'%x\r\n%b\r\n' % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    yield chunk * (BODY_BYTES // CHUNK_BYTES)


async def slow_body() -> Parts:
    """Yield a request whose body goes on slowly after its first half."""
    yield _request('POST', '/safe/x?size=3', f'Content-Length: {BODY_BYTES}')
    yield bytes(BODY_BYTES // 2)
    for _ in range(BODY_BYTES // 2):
        await asyncio.sleep(0.05)
        yield b'x'


async def pipelined_requests() -> Parts:
    """Yield many requests without a pause."""
    for _ in range(PIPELINED):
        yield _request('GET', f'/safe/x?size={ANSWER_BYTES}')


async def head_without_end() -> Parts:
    """Yield a head that goes on."""
    yield b'GET /safe/x?size=3 HTTP/1.1\r\nHost: example\r\n'
    for number in range(100):
        yield b'X-%d: %b\r\n' % (number, b'x' * HEADER_BYTES)


async def nothing() -> Parts:
    """Yield no bytes: the client only connects."""
    yield b''


async def unread_stream() -> Parts:
    """Yield a request for a long stream."""
    yield _request('POST', f'/streaming/x?size={STREAM_BYTES}')


async def unread_answer() -> Parts:
    """Yield a request for a large response."""
    yield _request('POST', f'/safe/x?size={LARGE_ANSWER_BYTES}')


def pipelined_at(path: str) -> Client:
    """Return a client that pipelines requests for a path."""

    async def parts() -> Parts:
        yield _request('GET', path) * PIPELINED * 5

    return Client(parts)


def body_at(path: str) -> Client:
    """Return a client that sends a body without its end to a path."""

    async def parts() -> Parts:
        yield _request('POST', path, f'Content-Length: {BODY_BYTES}')
        yield bytes(BODY_BYTES - 1)

    return Client(parts)


async def peer_message_without_end() -> Parts:
    """Yield a message of another host that lacks its last byte."""
    yield struct.pack('<I', PEER_MESSAGE_BYTES)
    yield bytes(PEER_MESSAGE_BYTES - 1)


def _request(method: str, path: str, *headers: str) -> bytes:
    lines = (
        f'{method} {path} HTTP/1.1',
        'Host: example',
        'Authorization: Bearer key',
        f'Request-Id: crowd-{next(_identities)}',
        f'Deadline-Ms: {DEADLINE_MS}',
        *headers,
    )
    return '\r\n'.join((*lines, '', '')).encode()


def _pieces(part: bytes) -> Iterator[bytes]:
    with memoryview(part) as view:
        for start in range(0, len(part), PIECE_BYTES):
            end = start + PIECE_BYTES
            yield view[start:end].tobytes()


CROWDS = {
    'bodies that stop early': [Group('front', Client(body_without_end), 60)],
    'chunks that stop early': [Group('front', Client(chunks_without_end), 60)],
    'slow bodies': [Group('front', Client(slow_body), 120)],
    'unread pipelined answers': [
        Group('front', Client(pipelined_requests), 200)
    ],
    'heads without end': [Group('front', Client(head_without_end), 60)],
    'connections only': [Group('front', Client(nothing), 400)],
    'unread streams': [Group('front', Client(unread_stream), 160)],
    'unread answers': [Group('front', Client(unread_answer), 120)],
    'half-closed bodies': [
        Group('front', Client(body_without_end, half_closes=True), 60)
    ],
    'half-closed answers': [
        Group('front', Client(unread_answer, half_closes=True), 120)
    ],
    'directory': [
        Group('directory', body_at('/resolve'), 40),
        Group('directory', pipelined_at('/resolve'), 40),
        Group('directory', Client(head_without_end), 40),
        Group('directory', Client(nothing), 200),
    ],
    'readiness': [
        Group('ready', body_at('/ready'), 40),
        Group('ready', pipelined_at('/ready'), 40),
        Group('ready', Client(head_without_end), 40),
        Group('ready', Client(nothing), 200),
    ],
    'metrics': [
        Group('metrics', body_at('/metrics'), 40),
        Group('metrics', pipelined_at('/metrics'), 40),
        Group('metrics', Client(head_without_end), 40),
        Group('metrics', Client(nothing), 200),
    ],
    'other hosts': [
        Group('peers', Client(peer_message_without_end), 20),
        Group('peers', Client(nothing), 300),
    ],
    'mix': [
        Group('front', Client(body_without_end), 15),
        Group('front', Client(chunks_without_end), 15),
        Group('front', Client(slow_body), 15),
        Group('front', Client(pipelined_requests), 30),
        Group('front', Client(head_without_end), 15),
        Group('front', Client(nothing), 100),
        Group('front', Client(unread_stream), 30),
        Group('front', Client(unread_answer), 30),
        Group('directory', pipelined_at('/resolve'), 15),
        Group('metrics', pipelined_at('/metrics'), 15),
        Group('ready', Client(head_without_end), 15),
        Group('peers', Client(peer_message_without_end), 5),
    ],
}
