"""Only a call of which no byte can have left the process was not sent."""

import asyncio
import contextlib
import dataclasses
import socket
import struct

import geranium_relay as relay
import pytest

from .target_caller import TargetCaller, calling
from .waits import ticks

RESET = struct.pack('ii', 1, 0)  # closing resets the connection
TCP_CLOSE = 7  # state of a connection that was reset


def reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info('socket')
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


async def reset_at_once(
    _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    reset(writer)


async def reset_after_a_byte(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError):
        await reader.readexactly(1)
    reset(writer)


async def wait_until_reset(connection: socket.socket) -> None:
    """Return once the kernel knows that a connection was reset."""
    async for _ in ticks():
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        if state[0] == TCP_CLOSE:
            return


async def error_of(
    caller: TargetCaller, body: bytes
) -> type[relay.RelayError] | None:
    """Return the error of an unsafe call with a body, if it fails."""
    call = caller.call('r1', relay.RouteKind.UNSAFE)
    arrival = dataclasses.replace(call.job.arrival, body=body)
    job = dataclasses.replace(call.job, arrival=arrival)
    try:
        await caller.calls.send(dataclasses.replace(call, job=job))
    except relay.RelayError as error:
        return type(error)
    return None


async def told_by(serve, body: bytes) -> type[relay.RelayError] | None:
    """Return the error of a call to a target that serves connections so."""
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()[:2]
    async with calling(f'{host}:{port}') as caller:
        told = await error_of(caller, body)
    server.close()
    return told


# A target reset new connections at its limit. If the reset was still unread
# when the request was written, the call counted as one that may have run.
@pytest.mark.parametrize('body', [b'', b'body', bytes(300_000)])
async def test_call_that_the_socket_refuses_was_not_sent(
    monkeypatch, body: bytes
) -> None:
    connect = relay.CallConnector.connect

    async def connect_to_reset(
        connector: relay.CallConnector, request: object, **limits: object
    ) -> object:
        connection = await connect(connector, request, **limits)
        transport = connection.protocol.transport
        transport.pause_reading()
        await wait_until_reset(transport.get_extra_info('socket'))
        return connection

    monkeypatch.setattr(relay.CallConnector, 'connect', connect_to_reset)

    assert await told_by(reset_at_once, body) is relay.NotSentError


# The write raises another error if there is no body.
async def test_call_without_body_on_an_ended_connection_was_not_sent(
    monkeypatch,
) -> None:
    connect = relay.CallConnector.connect

    async def connect_to_end(
        connector: relay.CallConnector, request: object, **limits: object
    ) -> object:
        connection = await connect(connector, request, **limits)
        connection.protocol.transport.abort()
        return connection

    monkeypatch.setattr(relay.CallConnector, 'connect', connect_to_end)

    assert await told_by(reset_after_a_byte, b'') is relay.NotSentError


# An unsafe request would run twice if a call that was written in part, or to a
# target that has read it, counted as not sent.
@pytest.mark.parametrize('body', [b'', b'body', bytes(8_000_000)])
async def test_call_of_which_a_byte_has_left_may_have_run(body: bytes) -> None:
    assert await told_by(reset_after_a_byte, body) is relay.AnswerLostError


# The writes of an earlier call on a connection are not those of the next one,
# and the other way round.
async def test_writes_are_noted_for_each_call_of_a_connection() -> None:
    async def answer_once(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\nbody')
            writer.write(
                b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n'
                b'Response-Signature: s\r\nContent-Length: 2\r\n\r\nok'
            )
            await reader.readuntil(b'body')
        writer.close()

    server = await asyncio.start_server(answer_once, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()[:2]
    async with calling(f'{host}:{port}') as caller:
        assert await caller.send('r1') == (200, b'ok')
        told = await caller.send('r2')
    server.close()

    assert told is relay.AnswerLostError
