"""Every failure that a caller gets is a problem in the documented form."""

import asyncio
import json
import pathlib
import typing
from collections.abc import Mapping
from types import MappingProxyType

import geranium_relay as relay
import pytest
from geranium_platform.problems import CONTENT_TYPE, problem_of

from .bare_exchange import END, Message, encode, send
from .conftest import ServeConnection, World, only_target
from .test_unchanged_requests import front_of

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = ROOT / 'docs' / 'INTERFACES.md'
SECRET = 'Kv-Source: 10.1.64.9:8080/3fa09c41'
LEAKY = f"ClientOSError(104, 'reset') {SECRET}"
OUTCOMES = (
    relay.Refused('engines busy', 0.25),
    relay.OverQuota(0.25),
    relay.MalformedSize(),
    relay.UnknownRoute(),
    relay.UnknownKey(),
    relay.Failed(LEAKY),
    relay.TimedOut(),
    relay.CutOff(LEAKY),
    relay.Delivered(200),
)
NO_CHANGES: Mapping[str, str] = MappingProxyType({})
NOT_RUN_STATUSES = frozenset((400, 401, 404, 429, 503))
FIELDS = frozenset(
    (
        'type',
        'title',
        'status',
        'outcome',
        'request_id',
        'detail',
        'retry_after_s',
    )
)


def test_all_outcomes_are_here() -> None:
    kinds = set(typing.get_args(relay.Outcome))
    assert kinds == set(map(type, OUTCOMES))


@pytest.mark.parametrize('outcome', OUTCOMES)
def test_problem_of_an_outcome_is_told_in_own_words(
    outcome: relay.Outcome,
) -> None:
    problem = problem_of(outcome)

    assert SECRET not in problem.detail
    assert 'Error(' not in problem.detail
    is_promise = problem.status in NOT_RUN_STATUSES
    assert (problem.outcome == 'not-run') == is_promise
    assert f'`{problem.kind}`' in PAGE.read_text()


def lines(changes: Mapping[str, str] = NO_CHANGES) -> list[tuple[str, str]]:
    """Return the header lines of a request, with some of them changed."""
    named = {
        'Host': 'example',
        'Authorization': 'Bearer key',
        'Request-Id': 'r1',
        'Deadline-Ms': '5000',
        'Content-Length': '0',
        **changes,
    }
    return list(named.items())


def check_problem(
    answer: Message, status: int, kind: str, outcome: str
) -> dict[str, object]:
    """Check that a response is a problem; return its body."""
    headers = dict(answer.lines)
    told: dict[str, object] = json.loads(answer.body)
    assert int(answer.start.split()[1]) == status
    assert headers['Content-Type'].startswith(CONTENT_TYPE)
    assert told.keys() == FIELDS
    assert told['type'] == f'urn:geraniumdrum:problem:{kind}'
    assert told['status'] == status
    assert told['outcome'] == outcome
    assert ('Retry-After' in headers) == (told['retry_after_s'] is not None)
    assert told['request_id'] == headers.get('Request-Id')
    assert SECRET.encode() not in answer.body
    assert b'Error(' not in answer.body
    return told


@pytest.mark.parametrize(
    ('path', 'changes', 'status', 'kind'),
    [
        ('/nowhere/x', {}, 404, 'unknown-route'),
        ('/safe/x', {'Authorization': 'Bearer wrong'}, 401, 'unknown-key'),
        ('/safe/x', {'Deadline-Ms': '0'}, 503, 'refused'),
        ('/safe/x', {'Content-Length': '99999999'}, 413, 'too-large'),
    ],
)
async def test_request_that_was_not_run_is_told_so(
    world: World, path: str, changes: dict[str, str], status: int, kind: str
) -> None:
    sent = lines(changes)
    body = bytes(int(dict(sent)['Content-Length']))
    message = encode(f'POST {path} HTTP/1.1', sent, body)

    answer = await send(front_of(world), message)

    told = check_problem(answer, status, kind, 'not-run')
    assert told['request_id'] == 'r1'


async def test_bytes_that_are_no_request_are_told_so(world: World) -> None:
    # The response held what the caller had sent.
    answer = await send(front_of(world), f'\x01 {SECRET}\r\n\r\n'.encode())

    check_problem(answer, 400, 'malformed', 'not-run')


async def test_error_of_the_host_is_told_in_own_words(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail(*_serve: object) -> None:
        raise ValueError(SECRET)

    monkeypatch.setattr(world.host._path.relay, 'serve', fail)

    answer = await send(
        front_of(world), encode('POST /safe/x HTTP/1.1', lines())
    )

    check_problem(answer, 500, 'internal-error', 'unknown')


async def respond_and_close(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, raw: bytes
) -> None:
    """Answer the request of a connection with some bytes."""
    await reader.readuntil(END)
    writer.write(raw)
    await writer.drain()
    writer.close()


def answering(raw: bytes) -> ServeConnection:
    """Return a target that answers every request with the same bytes."""
    return lambda reader, writer: respond_and_close(reader, writer, raw)


@pytest.mark.parametrize('kind', ['unsafe', 'streaming'])
@pytest.mark.parametrize(
    'raw',
    [
        f'{SECRET}\r\n\r\n',
        f'HTTP/1.1 200 OK\r\n{SECRET}\r\n',
        f'HTTP/1.1 200 OK\r\nRequest-Id: {SECRET}\r\n\r\n',
        f'HTTP/1.1 200 OK\r\n{SECRET}\x00\r\n\r\n',
        f'HTTP/1.1 200 OK\r\nContent-Length: {SECRET}\r\n\r\n',
        f'HTTP/1.1 503 {SECRET}\r\nContent-Length: 0\r\n\r\n',
        '',
    ],
)
async def test_failure_holds_no_bytes_of_its_target(
    world: World, kind: str, raw: str
) -> None:
    # The body was the text of the HTTP client's error.
    async with only_target(world, answering(raw.encode())):
        answer = await send(
            front_of(world), encode(f'POST /{kind}/x HTTP/1.1', lines())
        )

    told = check_problem(answer, 502, 'failed', 'unknown')
    assert told['request_id'] == 'r1'


async def test_silent_target_is_told_as_timed_out(world: World) -> None:
    async def wait(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()
        writer.close()

    async with only_target(world, wait):
        answer = await send(
            front_of(world),
            encode('POST /unsafe/x HTTP/1.1', lines({'Deadline-Ms': '400'})),
        )

    check_problem(answer, 504, 'timed-out', 'unknown')
