"""A target sends an earlier response once more on a kept connection."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
from geraniumd.backends import TargetTransport, raise_for_status, read_body
from geraniumd.process import TargetError, TargetRefusedError, TargetSettings

GAP_S = 0.03  # longer than what arrives together
REFUSED = (503, b'{"type": "not-run", "detail": "full"}')
ANSWERED = (200, b'first')
MOMENTS = ('with it', 'idle', 'sent', 'pieces')


class RepeatingTarget:
    """Gives one answer to the first call of all and sends it twice."""

    def __init__(self, first: tuple[int, bytes], moment: str) -> None:
        self.ran: list[bytes] = []
        self._first = encode(*first)
        self._moment = moment
        self._first_sent = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of a connection."""
        rest = b''
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if self._first_sent:
                    await self._run(head.split()[1], writer, rest)
                    rest = b''
                else:
                    rest = await self._answer_first(writer)
        writer.close()

    async def _answer_first(self, writer: asyncio.StreamWriter) -> bytes:
        """Send the first answer; return what follows the next call."""
        self._first_sent = True
        writer.write(self._first)
        if self._moment != 'with it':
            await writer.drain()
            await asyncio.sleep(GAP_S)
        pieces = {'sent': 0, 'pieces': 20}
        begun = pieces.get(self._moment, len(self._first))
        writer.write(self._first[:begun])
        return self._first[begun:]

    async def _run(
        self, path: bytes, writer: asyncio.StreamWriter, rest: bytes
    ) -> None:
        self.ran.append(path)
        writer.write(rest)
        await writer.drain()
        await asyncio.sleep(GAP_S)
        writer.write(encode(200, path))
        await writer.drain()


def encode(status: int, body: bytes) -> bytes:
    return b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b' % (
        status,
        len(body),
        body,
    )


@contextlib.asynccontextmanager
async def connected(target: RepeatingTarget) -> AsyncIterator['Caller']:
    server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    transport = TargetTransport(TargetSettings())
    yield Caller(transport, f'http://127.0.0.1:{port}')
    await transport.close()
    server.close()


class Caller:
    def __init__(self, transport: TargetTransport, url: str) -> None:
        self._transport = transport
        self._url = url

    async def get(self, path: str) -> bytes:
        response = await self._transport.send('GET', f'{self._url}{path}')
        try:
            await raise_for_status(response)
            return await read_body(response)
        finally:
            response.release()


@pytest.mark.parametrize('moment', MOMENTS)
async def test_call_that_ran_is_not_taken_for_refused(moment: str) -> None:
    target = RepeatingTarget(REFUSED, moment)
    async with connected(target) as caller:
        with pytest.raises(TargetRefusedError):
            await caller.get('/1')
        await asyncio.sleep(2 * GAP_S)

        assert await caller.get('/2') == b'/2'
        assert target.ran == [b'/2']


@pytest.mark.parametrize('moment', ['with it', 'idle', 'pieces'])
async def test_answer_of_another_call_on_an_idle_connection_is_not_returned(
    moment: str,
) -> None:
    target = RepeatingTarget(ANSWERED, moment)
    async with connected(target) as caller:
        assert await caller.get('/1') == b'first'
        await asyncio.sleep(2 * GAP_S)

        try:
            answer = await caller.get('/2')
        except TargetError as error:
            answer = None
            assert not isinstance(error, TargetRefusedError)

        assert answer in {b'/2', None}
