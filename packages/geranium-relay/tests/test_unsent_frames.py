"""A host sends the whole response to a request of another host, then ends."""

import asyncio
import math
import socket
import struct
import time

import geranium_relay as relay
from geranium_relay.peer_forwarding.call_codec import encode_request
from geranium_relay.peer_forwarding.connections import (
    ConnectionEndedError,
    MessageConnection,
)
from geranium_relay.peer_forwarding.frame_codec import (
    decode_frame,
)
from geranium_relay.peer_forwarding.messages import (
    DataFrame,
    EndFrame,
    ForwardedRequest,
    Frame,
    RunProgress,
)

from .test_peer_forwarding import Taker
from .world import OK_HEAD

DELIVERED = EndFrame(relay.Delivered(200))
PIECE = bytes(4096)  # less than what a connection queues without a pause
LIMIT_S = 30
SETTLE_S = 0.05


def make_request(deadline: float) -> ForwardedRequest:
    arrival = relay.IncomingRequest(
        identity='r1',
        method='POST',
        path='/unsafe/x',
        headers=(),
        body=b'',
        arrived_at=time.monotonic(),
        caller_deadline=deadline,
        resume_after=None,
        prompt=None,
    )
    return ForwardedRequest(
        'h1', 'example', 'key', arrival, 'service', math.inf, RunProgress()
    )


class FullConnection(Taker):
    """Responds until the connection takes no more."""

    def __init__(self) -> None:
        super().__init__('h2', self.fill)
        self.has_filled = asyncio.Event()

    async def fill(
        self, _request: ForwardedRequest, sink: relay.ResponseSink
    ) -> relay.Outcome:
        await sink.start(OK_HEAD, None)
        transport = sink._connection._writer.transport
        while not transport.get_write_buffer_size():
            await sink.write(PIECE)
            if transport.get_write_buffer_size():
                # The kernel may take it after all.
                await asyncio.sleep(SETTLE_S)
        self.has_filled.set()
        return DELIVERED.outcome

    async def pass_on(self, limit_s: float) -> socket.socket:
        """Send it a request; return the connection once it is full."""
        connection = socket.create_connection(('127.0.0.1', self.port))
        now = self.world.clock.now()
        request = encode_request(make_request(now + limit_s), now)
        connection.sendall(struct.pack('<I', len(request)) + request)
        await self.has_filled.wait()
        return connection

    async def wait_until_idle(self, limit_s: float) -> None:
        deadline = self.world.clock.now() + limit_s
        await self.open_requests.wait_until_idle(deadline)


async def read_frames(unread: socket.socket) -> list[Frame]:
    connection = MessageConnection(*await asyncio.open_connection(sock=unread))
    frames = []
    try:
        while True:
            frames.append(decode_frame(await connection.read()))
    except ConnectionEndedError:
        return frames


# A host that stopped counted a response as sent that was still queued, and its
# process ended: the caller of the first host got a part of it.
async def test_queued_response_is_open_until_it_has_been_sent() -> None:
    taker = FullConnection()
    await taker.start()
    connection = await taker.pass_on(LIMIT_S)
    await taker.wait_until_idle(0.1)

    assert taker.open_requests.count == 1
    frames = await read_frames(connection)
    assert frames[-1] == DELIVERED
    assert isinstance(frames[-2], DataFrame)
    await taker.wait_until_idle(LIMIT_S)
    assert not taker.open_requests.count
    connection.close()
    taker.stop()


async def test_response_that_nobody_reads_is_given_up() -> None:
    taker = FullConnection()
    await taker.start()
    connection = await taker.pass_on(0.1)

    await taker.wait_until_idle(LIMIT_S)

    assert not taker.open_requests.count
    connection.close()
    taker.stop()
