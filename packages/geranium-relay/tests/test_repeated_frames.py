"""Hosts that send frames once more, or an error inside a stream."""

import asyncio
import socket
from collections.abc import Sequence

import geranium_relay as relay
from geranium_relay.peer_forwarding.connections import MessageConnection
from geranium_relay.peer_forwarding.frame_codec import encode_frame
from geranium_relay.peer_forwarding.messages import (
    DataFrame,
    EndFrame,
    Frame,
    HeadFrame,
)

from .test_peer_forwarding import Taker, make_cut_world, run_hosts
from .world import EVENTS, OK_HEAD

BAD_HEAD = relay.ResponseHead(400, (), signed=True)
DELIVERED = EndFrame(relay.Delivered(200))
REFUSED = EndFrame(relay.Refused('unreached', 0.1, elsewhere=True))


class ScriptedHosts:
    """The answers of hosts, one after the other."""

    def __init__(self, *answers: Sequence[Frame]) -> None:
        self.answers = list(answers)
        self.connections = 0


class ScriptedHost(Taker):
    """Answers a request on each connection, and keeps the connection."""

    def __init__(self, name: str, scripted: ScriptedHosts) -> None:
        self.name = name
        self.port = 0
        self._scripted = scripted
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        with socket.create_server(('127.0.0.1', 0)) as probe:
            self.port = probe.getsockname()[1]
        self._server = await asyncio.start_server(
            self._answer, '127.0.0.1', self.port
        )

    def stop(self) -> None:
        self._server.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._scripted.connections += 1
        connection = MessageConnection(reader, writer)
        await connection.read()
        frames = self._scripted.answers.pop(0)
        for frame in frames:
            connection.write(encode_frame(frame))
        await connection.drain()
        if not isinstance(frames[-1], EndFrame):
            connection.close()


async def test_copy_of_a_refusal_is_not_the_refusal_of_a_later_request() -> (
    None
):
    scripted = ScriptedHosts(
        (REFUSED, REFUSED),
        (HeadFrame(OK_HEAD, None), DataFrame(b'yes'), DELIVERED),
    )
    world = make_cut_world()
    async with run_hosts(world, ScriptedHost('h2', scripted)):
        refused, _ = await world.serve('unsafe', identity='r1')
        outcome, sink = await world.serve('unsafe', identity='r2')

    assert isinstance(refused, relay.Refused)
    assert outcome == relay.Delivered(200)
    assert sink.data == b'yes'
    assert scripted.connections == 2


async def test_error_of_another_host_does_not_end_a_stream_as_complete() -> (
    None
):
    scripted = ScriptedHosts(
        (HeadFrame(OK_HEAD, 'v1'), DataFrame(EVENTS[0])),
        (
            HeadFrame(BAD_HEAD, None),
            DataFrame(b'error\n\n'),
            EndFrame(relay.Delivered(400)),
        ),
    )
    world = make_cut_world()
    hosts = [ScriptedHost(name, scripted) for name in ('h2', 'h3')]
    async with run_hosts(world, *hosts):
        outcome, sink = await world.serve('resumable')

    assert scripted.connections == 2
    assert isinstance(outcome, relay.CutOff)
    assert sink.data == EVENTS[0]
    assert not sink.finished
