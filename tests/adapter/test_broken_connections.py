"""Connections to targets that break: what the log says, what callers get."""

import asyncio
import contextlib
import json

import geranium_relay as relay
import pytest

from .conftest import CONFIGURATION, only_target
from .target_caller import calling
from .waits import ticks

ANSWER = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n'
    b'Content-Type: text/event-stream\r\nContent-Length: 17\r\n\r\n'
    b'id: 1\ndata: abc\n\n'
)


async def read_identity(reader: asyncio.StreamReader) -> bytes:
    """Read a request and return its id."""
    head = await reader.readuntil(b'\r\n\r\n')
    return head.lower().partition(b'request-id: ')[2].split()[0]


async def serve_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer the first request of a connection and close at the second."""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        writer.write(ANSWER % await read_identity(reader))
        await read_identity(reader)
    writer.close()


async def failures(capfd: pytest.CaptureFixture) -> list[dict[str, object]]:
    """Return the records of failed attempts once there is one."""
    logged = ''
    async for _ in ticks():
        logged += capfd.readouterr().out
        if '"attempt_failed"' in logged:
            break
    lines = map(json.loads, logged.splitlines())
    return [line for line in lines if line['event'] == 'attempt_failed']


# A request failed as "Server disconnected", and the log did not say on what
# connection: a kept one that its target had closed, or a new one.
async def test_log_names_the_connection_that_broke(capfd, world) -> None:
    async with only_target(world, serve_once):
        for number in (1, 2):
            async with world.caller.get(
                world.url('/safe/x'),
                headers=world.headers(Request_Id=f'r{number}'),
            ) as response:
                await response.read()

    failed = (await failures(capfd))[0]
    connection = failed['connection']
    assert failed['error'].count('closed before a response')
    assert failed['may_repeat']
    assert connection['calls'] == 2
    assert 0 <= connection['call_s'] <= connection['age_s']
    assert connection['remote'].startswith('127.0.0.1:')
    assert connection['local'] != connection['remote']


async def change_routes(world, **changes: object) -> None:
    """Change all routes in a version that is in force on return."""
    routes = [{**route, **changes} for route in CONFIGURATION['routes']]
    changed = {**CONFIGURATION, 'version': 2, 'routes': routes}
    world.store.put('config', 'main', changed)
    view = world.host.state.view
    async for _ in ticks():
        if view.catalogue.version == 2:
            return


async def statuses(world, kind: str) -> set[int]:
    """Send requests one after the other and return their statuses."""
    found = set()
    for number in range(4):
        async with world.caller.post(
            world.url(f'/{kind}/x'),
            headers=world.headers(Request_Id=f'r{number}'),
        ) as response:
            await response.read()
            found.add(response.status)
    return found


# Requests that no other attempt could save were sent on kept connections, and
# failed when their target closed one just then.
@pytest.mark.parametrize('kind', ['safe', 'streaming'])
async def test_last_attempt_uses_no_kept_connection(world, kind: str) -> None:
    await change_routes(world, maxAttempts=1, resumable=True)
    async with only_target(world, serve_once):
        assert await statuses(world, kind) == {200}


# The only target of a service closed kept connections, and requests that might
# be sent again failed for want of another target.
@pytest.mark.parametrize('kind', ['safe', 'streaming'])
async def test_request_of_a_closed_kept_connection_is_sent_again(
    world, kind: str
) -> None:
    await change_routes(world, resumable=True)
    async with only_target(world, serve_once):
        assert await statuses(world, kind) == {200}


# A target reset new connections at its limit; calls of which no byte had been
# written yet counted as calls that may have run, and were not sent elsewhere.
async def test_call_on_a_connection_that_ended_before_it_was_not_sent(
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
    server = await asyncio.start_server(serve_once, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()[:2]
    async with calling(f'{host}:{port}') as caller:
        told = await caller.send('r1', relay.RouteKind.UNSAFE)
    server.close()

    assert told is relay.NotSentError
