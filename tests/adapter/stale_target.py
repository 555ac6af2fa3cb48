"""A target on bare connections that sends an earlier answer once more."""

import asyncio
import dataclasses
import enum

GAP_S = 0.03  # longer than what arrives together


class Moment(enum.Enum):
    """When the copy of the first answer arrives."""

    WITH_IT = 'in one packet with the answer'
    IDLE = 'while the connection is idle'
    SENT = 'after the next request'
    PIECES = 'a piece before and a piece after the next request'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer; ``identity`` is the request that it names, if any."""

    status: str
    headers: tuple[str, ...]
    identity: str | None
    body: str = ''

    def encode(self) -> bytes:
        """Return the bytes of the answer."""
        length = len(self.body)
        lines = [f'HTTP/1.1 {self.status}', *self.headers]
        if self.identity is not None:
            lines.append(f'Request-Id: {self.identity}')
        lines.append(f'Content-Length: {length}')
        return '\r\n'.join((*lines, '', self.body)).encode()


class StaleTarget:
    """Gives one answer to the first request of all and sends it twice.

    It runs all other requests, as ``ran`` says, and answers them with their id.
    """

    def __init__(self, first: Answer, moment: Moment) -> None:
        self.first = first
        self.moment = moment
        self.ran: list[str] = []
        self.connections = 0
        self._first_sent = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of a connection."""
        self.connections += 1
        rest = b''
        try:
            while True:
                identity = await _read_request(reader)
                if self._first_sent:
                    await self._run(identity, writer, rest)
                    rest = b''
                else:
                    rest = await self._answer_first(writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def answer(self, identity: str) -> Answer:
        """Return the answer to a request that is run."""
        signed = ('Response-Signature: s',)
        return Answer('200 OK', signed, identity, identity)

    async def _answer_first(self, writer: asyncio.StreamWriter) -> bytes:
        """Send the first answer; return what follows the next request."""
        self._first_sent = True
        answer = self.first.encode()
        match self.moment:
            case Moment.WITH_IT:
                writer.write(answer + answer)
                return b''
            case Moment.SENT:
                writer.write(answer)
                return answer
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(GAP_S)
        if self.moment is Moment.IDLE:
            writer.write(answer)
            return b''
        writer.write(answer[:20])
        return answer[20:]

    async def _run(
        self, identity: str, writer: asyncio.StreamWriter, rest: bytes
    ) -> None:
        self.ran.append(identity)
        writer.write(rest)
        await writer.drain()
        await asyncio.sleep(GAP_S)
        writer.write(self.answer(identity).encode())
        await writer.drain()


async def _read_request(reader: asyncio.StreamReader) -> str:
    """Read a request and return its id."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    values_by_name = dict(
        line.split(': ', 1) for line in head.splitlines()[1:] if line
    )
    length = int(values_by_name.get('Content-Length', 0))
    await reader.readexactly(length)
    return values_by_name.get('Request-Id', '')
