"""Peers authenticate each other, and replayed or oversized frames fail."""

import asyncio

import pytest
from geraniumd.hosts import Channel, Identity, accept, dial
from geraniumd.process import (
    FrameError,
    PeerAuthenticationError,
    PeerError,
    Telemetry,
)

LIMIT_BYTES = 1024


class Pair:
    """Two connected channels; ``writer`` belongs to the dialer."""

    async def __aenter__(self):
        telemetry = Telemetry('h', 'z')
        accepted = asyncio.get_running_loop().create_future()

        async def accept_connection(reader, writer):
            accepted.set_result(
                Channel(reader, writer, LIMIT_BYTES, telemetry),
            )

        self.server = await asyncio.start_server(
            accept_connection, '127.0.0.1', 0
        )
        port = self.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        self.writer = writer
        self.dialer = Channel(reader, self.writer, LIMIT_BYTES, telemetry)
        self.acceptor = await accepted
        return self

    async def __aexit__(self, *error):
        self.dialer.close()
        self.acceptor.close()
        self.server.close()


def identity(host, secret=b'shared'):
    return Identity(host, 'zone-a', f'{host}-1', secret)


async def run_handshake(pair, secret=b'shared'):
    return await asyncio.gather(
        dial(pair.dialer, identity('a', secret)),
        accept(pair.acceptor, identity('b')),
        return_exceptions=True,
    )


async def test_handshake_returns_hello_of_the_other_end():
    async with Pair() as pair:
        theirs, mine = await run_handshake(pair)
        assert (theirs.host, mine.host) == ('b', 'a')
        await pair.dialer.send(b'question')
        assert await pair.acceptor.receive() == b'question'


async def test_dialer_rejects_wrong_secret():
    async with Pair() as pair:
        handshake = asyncio.create_task(run_handshake(pair, b'other'))
        done, _ = await asyncio.wait((handshake,), timeout=0.5)
        assert not done  # the acceptor still waits for the proof
        pair.dialer.close()
        theirs, mine = await handshake
        assert isinstance(theirs, PeerAuthenticationError)
        assert isinstance(mine, PeerError)


async def test_replayed_frame_is_rejected():
    async with Pair() as pair:
        await run_handshake(pair)
        sent = []
        write = pair.writer.write
        pair.writer.write = lambda frame: (sent.append(frame), write(frame))
        await pair.dialer.send(b'once')
        assert await pair.acceptor.receive() == b'once'
        write(sent[0])
        with pytest.raises(FrameError):
            await pair.acceptor.receive()


async def test_oversized_frame_is_rejected():
    async with Pair() as pair:
        await run_handshake(pair)
        await pair.dialer.send(b'x' * (LIMIT_BYTES + 1))
        with pytest.raises(FrameError):
            await pair.acceptor.receive()
