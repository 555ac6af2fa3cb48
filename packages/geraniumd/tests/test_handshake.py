"""Peers prove the shared secret, and frames can't be altered or repeated."""

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
    """Two channels over a real connection; ``writer`` is the dialer's."""

    async def __aenter__(self):
        telemetry = Telemetry('h', 'z')
        accepted = asyncio.get_running_loop().create_future()

        async def take(reader, writer):
            accepted.set_result(
                Channel(reader, writer, LIMIT_BYTES, telemetry),
            )

        self.server = await asyncio.start_server(take, '127.0.0.1', 0)
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


async def shake(pair, secret=b'shared'):
    return await asyncio.gather(
        dial(pair.dialer, identity('a', secret)),
        accept(pair.acceptor, identity('b')),
        return_exceptions=True,
    )


async def test_both_ends_learn_who_the_other_is():
    async with Pair() as pair:
        theirs, mine = await shake(pair)
        assert (theirs.host, mine.host) == ('b', 'a')
        await pair.dialer.send(b'question')
        assert await pair.acceptor.receive() == b'question'


async def test_wrong_secret_is_refused_by_the_dialer():
    async with Pair() as pair:
        shaking = asyncio.create_task(shake(pair, b'other'))
        done, _ = await asyncio.wait((shaking,), timeout=0.5)
        assert not done  # the acceptor waits for a proof that never comes
        pair.dialer.close()
        theirs, mine = await shaking
        assert isinstance(theirs, PeerAuthenticationError)
        assert isinstance(mine, PeerError)


async def test_repeated_frame_is_refused():
    async with Pair() as pair:
        await shake(pair)
        sent = []
        write = pair.writer.write
        pair.writer.write = lambda frame: (sent.append(frame), write(frame))
        await pair.dialer.send(b'once')
        assert await pair.acceptor.receive() == b'once'
        write(sent[0])
        with pytest.raises(FrameError):
            await pair.acceptor.receive()


async def test_too_long_frame_is_refused():
    async with Pair() as pair:
        await shake(pair)
        await pair.dialer.send(b'x' * (LIMIT_BYTES + 1))
        with pytest.raises(FrameError):
            await pair.acceptor.receive()
