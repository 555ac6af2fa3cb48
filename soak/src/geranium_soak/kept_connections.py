"""A caller's connection that is kept until the host closes it."""

import asyncio
from collections.abc import Mapping, Sequence
from http import HTTPStatus

from geranium_platform_standins import SIGNATURE

from .observations import Response, now

CONNECT_TIMEOUT_S = 1
LINE_END = b'\r\n'
HEAD_END = b'\r\n\r\n'
HEX = 16


class KeptConnection:
    """A connection for one request at a time, opened again when it is closed."""

    def __init__(self) -> None:
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def open(self, address: str) -> None:
        """Connect, unless a connection is open that the host has not closed.

        Raises:
            OSError: The host refuses connections.
            TimeoutError: It does not accept one.
        """
        if self._streams is not None and not self._streams[0].at_eof():
            return
        self.close()
        host, _, port = address.rpartition(':')
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self._streams = await asyncio.open_connection(host, int(port))

    def close(self) -> None:
        """Close the connection if it is open."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def send(
        self,
        path: str,
        headers: Mapping[str, str],
        body: Sequence[bytes],
        pause_s: float,
    ) -> float:
        """Send a request and return when its last byte was sent.

        Args:
            path: Its path and query.
            headers: Its headers, without those that frame the body.
            body: The body, sent with its length if it is of one part, else
                part by part in chunks.
            pause_s: Pause before each part.
        """
        _, writer = self._opened()
        framing = f'Content-Length: {len(body[0])}'
        parts = list(body)
        if len(body) > 1:
            framing = 'Transfer-Encoding: chunked'
            parts = [_chunk(part) for part in (*body, b'')]
        lines = [f'{name}: {text}' for name, text in headers.items()]
        head = '\r\n'.join((f'POST {path} HTTP/1.1', *lines, framing))
        writer.write(head.encode() + HEAD_END)
        for part in parts:
            await asyncio.sleep(pause_s)
            writer.write(part)
            await writer.drain()
        return now()

    async def read_response(self) -> Response:
        """Read a response; raises ``EOFError`` or ``OSError`` if it is cut."""
        reader, _ = self._opened()
        status, headers = _parse_head(await reader.readuntil(HEAD_END))
        while status < HTTPStatus.OK:
            status, headers = _parse_head(await reader.readuntil(HEAD_END))
        body = await _read_body(reader, headers)
        if headers.get('connection', '').lower() == 'close':
            self.close()
        return Response(status, headers.get(SIGNATURE.lower()), body, now())

    def _opened(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is None:
            raise ConnectionError('never opened')
        return self._streams


def _chunk(part: bytes) -> bytes:
    return f'{len(part):x}'.encode() + LINE_END + part + LINE_END


def _parse_head(head: bytes) -> tuple[int, dict[str, str]]:
    first, *lines = head.decode().split('\r\n')
    fields = (line.partition(':') for line in lines if line)
    headers = {name.lower(): text.strip() for name, _, text in fields}
    return int(first.split()[1]), headers


async def _read_body(
    reader: asyncio.StreamReader, headers: Mapping[str, str]
) -> bytes:
    length = headers.get('content-length')
    if length is not None:
        return await reader.readexactly(int(length))
    if 'transfer-encoding' not in headers:
        return await reader.read()
    body = bytearray()
    while True:
        size = int(await reader.readuntil(LINE_END), HEX)
        part = await reader.readexactly(size + len(LINE_END))
        if not size:
            return bytes(body)
        body.extend(part[:size])
