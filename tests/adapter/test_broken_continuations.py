"""A stream breaks off and the next target answers with an error."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Sequence

import pytest

from .conftest import CONFIGURATION, target_entry
from .waits import wait_for

TARGETS = 4
EVENTS = (
    'id: 1\ndata: e1\n\n',
    'id: 2\ndata: e2\n\n',
    'id: 3\ndata: e3\n\n',
    'id: 4\ndata: e4\n\n',
)
WHOLE = ''.join(EVENTS).encode()
BEGUN = ''.join(EVENTS[:2]).encode()
REST = ''.join(EVENTS[2:]).encode()
ERROR = '{"error": "internal"}\n\nfailed\n\n'
STREAM_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
SIGNED = 'Response-Signature: s\r\n'
CHUNKED = 'Transfer-Encoding: chunked\r\n'


def chunks(*texts: str) -> str:
    return ''.join(f'{len(text):x}\r\n{text}\r\n' for text in texts)


def stream(*events: str, end: str = '0\r\n\r\n') -> str:
    """Return a response with a stream; without an end it is cut."""
    body = chunks(*events)
    return f'{STREAM_HEAD}{SIGNED}{CHUNKED}\r\n{body}{end}'


def unframed(*events: str) -> str:
    body = ''.join(events)
    return f'{STREAM_HEAD}{SIGNED}\r\n{body}'


def whole(status: str, headers: str, body: str = ERROR) -> str:
    length = len(body)
    head = f'HTTP/1.1 {status}\r\n{headers}Content-Length: {length}'
    return f'{head}\r\n\r\n{body}'


PLAIN_ERROR = whole('500 Failed', 'Content-Type: text/plain\r\n')
BARE_ERROR = whole('500 Failed', 'X: y\r\n')
FIRST, SECOND, THIRD, FOURTH = EVENTS
CUT_STREAMS = {
    'after events': stream(FIRST, SECOND, end=''),
    'inside an event': stream(FIRST, SECOND, THIRD[:-3], end=''),
    'after its head': stream(end=''),
    'without framing': unframed(FIRST, SECOND, THIRD[:-3]),
    'with an error in its body': unframed(FIRST, SECOND, PLAIN_ERROR),
    'with an error inside an event': unframed(
        FIRST, SECOND, THIRD[:-2], BARE_ERROR
    ),
}
UNSIGNED_REST = chunks(THIRD, FOURTH)
ERRORS = {
    'signed 400': whole('400 Bad', SIGNED),
    'signed 404': whole('404 No', SIGNED),
    'signed 500': whole('500 Failed', SIGNED),
    'unsigned 500': whole('500 Failed', ''),
    'unsigned 502': whole('502 Failed', 'Content-Type: text/html\r\n'),
    'signed 302': whole('302 Moved', f'{SIGNED}Location: /\r\n'),
    '204': f'HTTP/1.1 204 No Content\r\n{SIGNED}\r\n',
    '101': 'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n',
    'another type': whole('200 OK', f'{SIGNED}Content-Type: text/plain\r\n'),
    'unsigned stream': f'{STREAM_HEAD}{CHUNKED}\r\n{UNSIGNED_REST}',
    'refusal': whole('503 Full', 'Not-Executed: 1\r\n'),
    'first event again': stream(*EVENTS),
    'last event again': stream(*EVENTS[1:]),
    'event without an id': stream('data: e3\n\n', EVENTS[3]),
    'error as an event': stream(ERROR),
    'no event': whole(
        '200 OK', f'{SIGNED}Content-Type: text/event-stream\r\n', ''
    ),
    'silent close': '',
}


class ScriptedTargets:
    """Targets that give one answer after the other, on any connection."""

    def __init__(self) -> None:
        self.answers: list[str] = []
        self.resumed_after: list[str | None] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the request of a connection and close it."""
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        values = dict(
            line.split(': ', 1) for line in head.splitlines()[1:] if line
        )
        self.resumed_after.append(values.get('Last-Event-Id'))
        if self.answers:
            writer.write(self.answers.pop(0).encode())
            await writer.drain()
        writer.close()


@pytest.fixture
async def targets(world) -> AsyncIterator[ScriptedTargets]:
    """Replace the target of the world by several for resumable streams."""
    scripted = ScriptedTargets()
    async with contextlib.AsyncExitStack() as servers:
        for number in range(TARGETS):
            server = await asyncio.start_server(scripted.serve, '127.0.0.1', 0)
            servers.callback(server.close)
            host, port = server.sockets[0].getsockname()[:2]
            entry = target_entry(f'{host}:{port}')
            world.store.put('servers', f's{number}', entry)
        world.store.remove('servers', 't1')
        world.store.put('config', 'main', _configuration())

        async def is_ready() -> bool:
            state = world.host.state
            return (
                state.view.catalogue.version == 2
                and len(state.fleet.targets_by_identity) == TARGETS
            )

        await wait_for(is_ready)
        yield scripted


def _configuration() -> dict[str, object]:
    routes = [
        {**route, 'resumable': True, 'maxAttempts': TARGETS, 'timeoutMs': 3000}
        for route in CONFIGURATION['routes']
        if route['kind'] == 'streaming'
    ]
    return {**CONFIGURATION, 'version': 2, 'routes': routes}


async def request(
    world,
    answers: Sequence[str],
    targets: ScriptedTargets,
    *lines: str,
    version: str = '1.1',
    pause_s: float = 0,
) -> tuple[int, bytes, bool]:
    """Return the status, the body and whether it is complete."""
    targets.answers = list(answers)
    host, port = world.settings.listen.front.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        f'POST /streaming/x HTTP/{version}',
        'Host: example',
        'Authorization: Bearer key',
        'Request-Id: r1',
        'Deadline-Ms: 2500',
        'Content-Length: 0',
        *lines,
    )
    writer.write('\r\n'.join((*head, '', '')).encode())
    await asyncio.sleep(pause_s)
    async with asyncio.timeout(10):
        response = await read_response(reader)
    writer.close()
    return response


async def read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, bytes, bool]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    status = int(head.split()[1])
    if 'chunked' in head.lower():
        return status, *await read_chunks(reader)
    return status, *await read_until_end(reader)


async def read_until_end(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return a body that ends with its connection, by a close or a reset."""
    body = b''
    try:
        while block := await reader.read(65536):
            body += block
    except ConnectionError:
        return body, False
    return body, True


async def read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = b''
    try:
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            chunk = await reader.readexactly(size + 2)
            body += chunk[:-2]
            if not size:
                return body, True
    except (asyncio.IncompleteReadError, ConnectionError):
        return body, False


PAIRS = (
    *((cut, 'signed 500') for cut in CUT_STREAMS),
    *(('inside an event', error) for error in ERRORS),
    *(('with an error inside an event', error) for error in ERRORS),
)
# Nothing has reached the caller of the other streams.
BEGUN_PAIRS = [pair for pair in PAIRS if pair[0] != 'after its head']


@pytest.mark.parametrize(('cut', 'error'), PAIRS)
async def test_stream_goes_on_at_a_target_after_the_one_with_the_error(
    world, targets: ScriptedTargets, cut: str, error: str
) -> None:
    rest = EVENTS if cut == 'after its head' else EVENTS[2:]
    answers = (CUT_STREAMS[cut], ERRORS[error], stream(*rest))

    response = await request(world, answers, targets)

    assert response == (200, WHOLE, True)


@pytest.mark.parametrize(('cut', 'error'), BEGUN_PAIRS)
async def test_stream_that_no_target_continues_does_not_look_complete(
    world, targets: ScriptedTargets, cut: str, error: str
) -> None:
    answers = (CUT_STREAMS[cut], *itertools.repeat(ERRORS[error], TARGETS))

    response = await request(world, answers, targets)

    assert response == (200, BEGUN, False)


@pytest.mark.parametrize('error', ['first event again', 'last event again'])
async def test_caller_that_takes_a_stream_up_gets_no_event_again(
    world, targets: ScriptedTargets, error: str
) -> None:
    answers = (ERRORS[error], stream(*EVENTS[2:]))

    response = await request(world, answers, targets, 'Last-Event-Id: 2')

    assert response == (200, REST, True)


@pytest.mark.parametrize('version', ['1.0', '1.1'])
async def test_stream_of_a_caller_that_closes_ends_whole(
    world, targets: ScriptedTargets, version: str
) -> None:
    answers = (CUT_STREAMS['inside an event'], stream(*EVENTS[2:]))

    response = await request(
        world, answers, targets, 'Connection: close', version=version
    )

    assert response == (200, WHOLE, True)


@pytest.mark.parametrize('version', ['1.0', '1.1'])
async def test_cut_stream_of_a_caller_that_closes_does_not_look_complete(
    world, targets: ScriptedTargets, version: str
) -> None:
    errors = itertools.repeat(ERRORS['signed 500'], TARGETS)
    answers = (CUT_STREAMS['inside an event'], *errors)

    status, _, is_complete = await request(
        world, answers, targets, 'Connection: close', version=version
    )

    assert status == 200
    assert not is_complete


async def test_cut_stream_of_a_slow_caller_does_not_look_complete(
    world, targets: ScriptedTargets
) -> None:
    line = 'x' * 65536
    events = [f'id: {number}\ndata: {line}\n\n' for number in range(1, 65)]
    errors = itertools.repeat(ERRORS['signed 500'], TARGETS)
    answers = (stream(*events, end=''), *errors)

    status, body, is_complete = await request(
        world, answers, targets, pause_s=0.5
    )

    assert status == 200
    assert ''.join(events).encode().startswith(body)
    assert not is_complete
