"""A caller and a target that show the bytes of requests and responses."""

import asyncio
import dataclasses
from collections.abc import Sequence

END = b'\r\n\r\n'
Lines = Sequence[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """The head of a request or response and its body, as they arrived."""

    start: str
    lines: tuple[tuple[str, str], ...]
    body: bytes

    def texts_by_name(self) -> dict[str, list[str]]:
        """Return the texts of all header lines by their names in lower case."""
        return texts_by_name(self.lines)


def texts_by_name(lines: Lines) -> dict[str, list[str]]:
    """Return the texts of header lines, in order, by names in lower case."""
    texts: dict[str, list[str]] = {}
    for name, text in lines:
        texts.setdefault(name.lower(), []).append(text)
    return texts


class BareTarget:
    """Keeps the requests that reach it and answers them with given lines."""

    def __init__(self) -> None:
        self.requests: list[Message] = []
        self.answer_lines: Lines = ()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                request = await read_message(reader)
                self.requests.append(request)
                writer.write(self._answer(request))
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    def _answer(self, request: Message) -> bytes:
        identity = request.texts_by_name()['request-id'][0]
        lines = (
            ('Request-Id', identity),
            ('Response-Signature', 's'),
            ('Content-Length', '2'),
            *self.answer_lines,
        )
        return encode('HTTP/1.1 200 OK', lines, b'ok')


async def send(front: str, message: bytes) -> Message:
    """Send bytes to a host on a new connection and return its response."""
    host, _, port = front.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(10):
            writer.write(message)
            return await read_message(reader)
    finally:
        writer.close()


def encode(start: str, lines: Lines, body: bytes = b'') -> bytes:
    """Return the bytes of a message."""
    fields = [f'{name}: {text}' for name, text in lines]
    head = '\r\n'.join((start, *fields))
    return b''.join((head.encode('latin-1'), END, body))


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a length or in chunks."""
    head = await reader.readuntil(END)
    decoded = head.removesuffix(END).decode('latin-1')
    start, *rest = decoded.split('\r\n')
    lines = []
    for line in rest:
        name, _, text = line.partition(':')
        lines.append((name, text.strip(' \t')))
    texts = texts_by_name(lines)
    if 'transfer-encoding' in texts:
        return Message(start, tuple(lines), await _read_chunks(reader))
    length = int(texts.get('content-length', ['0'])[0])
    return Message(start, tuple(lines), await reader.readexactly(length))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body
