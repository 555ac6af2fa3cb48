"""Calls and frames of a later build, whose kinds this build doesn't know."""

import asyncio
import contextlib
import random
import struct
import time
from collections.abc import AsyncIterator

import geranium_relay as relay
import pytest
from geranium_policy.crash_evidence import TargetReach
from geranium_relay.peer_forwarding.frame_codec import (
    decode_frame,
    encode_frame,
)
from geranium_relay.peer_forwarding.messages import (
    DataFrame,
    EndFrame,
    HeadFrame,
)

from .later_schemas import later_forwarding
from .test_peer_forwarding import Taker, make_cut_world, make_update, run_hosts
from .world import OK_HEAD, World, make_peers

LATER = later_forwarding()
HEAD = encode_frame(HeadFrame(OK_HEAD, None))
DATA = encode_frame(DataFrame(b'body'))
DELIVERED = encode_frame(EndFrame(relay.Delivered(200)))
UNKNOWN_FRAME = LATER.Frame.new_message(laterFrame='x').to_bytes()
UNKNOWN_REACH = LATER.Frame.new_message(reach='laterReach').to_bytes()
UNKNOWN_END = LATER.Frame.new_message(
    end={'outcome': 'laterOutcome', 'reason': 'why'}
).to_bytes()
UNKNOWN_CALL = LATER.Call.new_message(laterCall='x').to_bytes()
LIMIT_S = 5


def pack(*messages: bytes) -> bytes:
    return b''.join(
        struct.pack('<I', len(message)) + message for message in messages
    )


@contextlib.asynccontextmanager
async def run_later_host(
    world: World, *frames: bytes
) -> AsyncIterator[relay.Peers]:
    """Let a host answer each call with the same frames."""

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        length = struct.unpack('<I', await reader.readexactly(4))[0]
        await reader.readexactly(length)
        writer.write(pack(*frames))
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    identity = relay.PeerIdentity('h2', 'a', 'h2:1', f'127.0.0.1:{port}', 1)
    peers = make_peers(world.clock)
    peers.handle_update(make_update(identity, ()), time.time())
    world.replace_peers(peers)
    async with asyncio.timeout(LIMIT_S), server:
        yield peers


async def test_unknown_frame_is_left_out_of_a_response() -> None:
    world = make_cut_world()
    frames = (UNKNOWN_FRAME, HEAD, UNKNOWN_FRAME, DATA, UNKNOWN_FRAME)
    async with run_later_host(world, *frames, DELIVERED):
        outcome, sink = await world.serve('unsafe')

    assert outcome == relay.Delivered(200)
    assert sink.data == b'body'


@pytest.mark.parametrize('frames', [(), (HEAD, DATA)])
async def test_request_with_an_unknown_outcome_may_have_run(
    frames: tuple[bytes, ...],
) -> None:
    world = make_cut_world()
    async with run_later_host(world, *frames, UNKNOWN_END):
        outcome, _ = await world.serve('unsafe')

    assert isinstance(outcome, relay.Failed)


async def test_unknown_judgement_of_a_target_says_nothing() -> None:
    world = World(targets=1)
    log = relay.DecisionLog(relay.LogSettings(), str, world.clock.now)
    async with run_later_host(world, UNKNOWN_REACH) as peers:
        client = relay.PeerClient(
            relay.PeerClientSettings(),
            peers,
            world.loads,
            world.clock.now,
            random.Random(1),
            log,
        )
        judgements = await client.ask(world.only_target())

    assert judgements == (TargetReach.UNKNOWN,)


async def test_unknown_call_is_refused_and_others_are_served() -> None:
    taker = Taker('h2')
    async with asyncio.timeout(LIMIT_S), run_hosts(World(), taker):
        for _ in range(2):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', taker.port
            )
            writer.write(pack(UNKNOWN_CALL))
            answer = (await reader.read())[4:]
            writer.close()

    refusal = decode_frame(answer)
    assert isinstance(refusal, EndFrame)
    assert isinstance(refusal.outcome, relay.Refused)
    assert refusal.outcome.elsewhere
    assert 'peer_call_unknown' in taker.world.lines[-1]
