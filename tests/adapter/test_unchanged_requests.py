"""What a caller sends reaches the target as sent, and so do answers."""

import asyncio
import pathlib
from collections.abc import AsyncIterator, Set
from http import HTTPStatus

import pytest
from aiohttp import web
from geranium_platform import names
from geranium_platform_standins import StandinStore
from geranium_standins.host_links import CutMode
from hypothesis import given, settings, strategies
from multidict import CIMultiDict

from .bare_exchange import (
    BareTarget,
    Lines,
    Message,
    encode,
    send,
    texts_by_name,
)
from .conftest import World, only_target
from .host_pair import Pair, response_headers, run_pair
from .waits import wait_for

EXAMPLES = 400
METHODS = strategies.sampled_from(['DELETE', 'GET', 'PATCH', 'POST', 'PUT'])
ROUTES = strategies.sampled_from(['safe', 'unsafe'])
OWN_LINES = (
    ('Host', 'example'),
    ('Authorization', 'Bearer key'),
    ('Request-Id', 'r1'),
    ('Deadline-Ms', '10000'),
)
SET_BY_SYSTEM = frozenset(
    (
        'connection',
        'content-length',
        'deadline-ms',
        'expect-instance',
        'host',
        'request-id',
        'tenant',
    )
)
SET_IN_ANSWERS = frozenset(('content-type', 'date', 'server'))
PASSED_PATH = '/safe//a/../%2f.?'
PARTS = ('5c1e07a2:800', '91bd3f06:410', 'e4402b7d:250')
VISIBLE = ''.join(map(chr, range(0x21, 0x7F)))
SPACED = f'{VISIBLE} \t'
TOKEN = ''.join(
    char for char in VISIBLE if char.isalnum() or char in "!#$%&'*+-.^_`|~"
)


@pytest.fixture
async def bare_target(world: World) -> AsyncIterator[BareTarget]:
    target = BareTarget()
    async with only_target(world, target.serve):
        yield target


async def test_lines_of_a_prompt_all_reach_the_target(
    world: World, bare_target: BareTarget
) -> None:
    # review/4: the target got the last line only.
    lines = [('Prompt-Prefix', part) for part in PARTS]
    lines.append(('Token-Usage', '1460,80'))

    answer = await exchange(front_of(world), 'POST', '/safe/a', lines)

    assert answer.start == 'HTTP/1.1 200 OK'
    received = bare_target.requests[-1].texts_by_name()
    assert received['prompt-prefix'] == list(PARTS)


CASES = strategies.sampled_from([str.lower, str.upper, str.title, str])
NAMES = strategies.one_of(
    strategies.sampled_from(
        ['Accept', 'Cache-Control', 'Prompt-Prefix', 'Set-Cookie', 'Via']
    ),
    strategies.text(TOKEN, min_size=1, max_size=6).map('X-{}'.format),
)
SPELLINGS = strategies.builds(lambda name, case: case(name), NAMES, CASES)
TEXTS = strategies.text(SPACED, max_size=12).map(str.strip)
SENT = strategies.tuples(SPELLINGS, TEXTS)
LINES = strategies.lists(SENT, max_size=6)


async def test_all_lines_of_headers_pass(
    world: World, bare_target: BareTarget
) -> None:
    loop = asyncio.get_running_loop()

    @given(lines=LINES, answered=LINES)
    @settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
    def check(lines: Lines, answered: Lines) -> None:
        bare_target.answer_lines = answered
        answer = asyncio.run_coroutine_threadsafe(
            exchange(front_of(world), 'POST', '/safe/a', lines), loop
        ).result()
        assert answer.start == 'HTTP/1.1 200 OK'
        received = bare_target.requests[-1].texts_by_name()
        assert without(received, SET_BY_SYSTEM) == texts_by_name(lines)
        returned = without(answer.texts_by_name(), SET_IN_ANSWERS)
        assert without(returned, SET_BY_SYSTEM | {'response-signature'}) == (
            texts_by_name(answered)
        )

    await asyncio.to_thread(check)


SEGMENTS = strategies.sampled_from(
    (
        *('', '.', '..', 'a', 'room-7', '%2F', '%2e%2E', '%41', '%', '%zz'),
        *("~!$&'()*+,;=:@", '%00', '%C3%BC', '_', '%3F', '%23', '\\', '[]'),
    )
)
ROOMS = strategies.lists(SEGMENTS, max_size=5).map('/'.join)
QUERIES = strategies.sampled_from(
    ['', '?', '??', '?a=1&a=2', '?&&=', '?a=/../b', '?a=%2f%20+c', "?q='~|^`"]
)
PATHS = strategies.builds('/{}/{}{}'.format, ROUTES, ROOMS, QUERIES)


async def test_empty_query_reaches_the_target(
    world: World, bare_target: BareTarget
) -> None:
    # The target got /safe/room-7.
    await exchange(front_of(world), 'POST', '/safe/room-7?', ())

    sent = bare_target.requests[-1]
    assert sent.start == 'POST /safe/room-7? HTTP/1.1'


async def test_all_paths_and_bodies_pass(
    world: World, bare_target: BareTarget
) -> None:
    loop = asyncio.get_running_loop()
    front = front_of(world)

    @given(METHODS, PATHS, strategies.binary(max_size=40))
    @settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
    def check(method: str, path: str, body: bytes) -> None:
        answer = asyncio.run_coroutine_threadsafe(
            exchange(front, method, path, (), body), loop
        ).result()
        assert answer.start == 'HTTP/1.1 200 OK'
        request = bare_target.requests[-1]
        assert request.start == f'{method} {path} HTTP/1.1'
        assert request.body == body

    await asyncio.to_thread(check)


async def test_bytes_that_are_no_utf8_pass(
    world: World, bare_target: BareTarget
) -> None:
    # The HTTP library leaves them out of header lines that it writes.
    bare_target.answer_lines = (('X-B', 'a\xffb'),)

    answer = await exchange(
        front_of(world), 'POST', '/safe/a', [('X-A', 'a\xffb')]
    )

    received = bare_target.requests[-1].texts_by_name()
    assert received['x-a'] == ['a\xffb']
    assert answer.texts_by_name()['x-b'] == ['a\xffb']


async def test_reserved_headers_are_never_those_of_a_caller(
    world: World, bare_target: BareTarget
) -> None:
    lines = [
        (spelling, 'forged')
        for name in sorted(names.RESERVED_HEADERS - {'host'})
        for spelling in (name, name.upper(), name.title(), name)
    ]

    answer = await exchange(front_of(world), 'POST', '/safe/a', lines)

    assert answer.start == 'HTTP/1.1 200 OK'
    received = bare_target.requests[-1].texts_by_name()
    assert received.keys() <= SET_BY_SYSTEM | {'last-event-id'}
    assert received['request-id'] == ['r1']
    assert received['tenant'] == ['team']
    assert received['expect-instance'] == ['t2']
    assert len(received['deadline-ms']) == 1
    received.pop('last-event-id', None)
    assert not any('forged' in texts for texts in received.values())


async def test_trailers_set_no_header(
    world: World, bare_target: BareTarget
) -> None:
    lines = (*OWN_LINES, ('Transfer-Encoding', 'chunked'))
    body = b'1\r\nx\r\n0\r\nTenant: forged\r\nKv-Source: forged\r\n\r\n'

    answer = await send(
        front_of(world), encode('POST /safe/a HTTP/1.1', lines, body)
    )

    assert answer.start == 'HTTP/1.1 200 OK'
    request = bare_target.requests[-1]
    assert request.body == b'x'
    assert request.texts_by_name()['tenant'] == ['team']
    assert 'kv-source' not in request.texts_by_name()


async def test_request_that_is_passed_on_is_unchanged(
    store_standin: StandinStore, store_address: str, tmp_path: pathlib.Path
) -> None:
    received: list[web.Request] = []

    async def keep(request: web.Request) -> web.Response:
        received.append(request)
        headers = CIMultiDict(response_headers(request))
        headers.extend((('Set-Cookie', 'a=1'), ('Set-Cookie', 'b=2')))
        return web.Response(headers=headers)

    lines = [('Prompt-Prefix', part) for part in PARTS]
    lines.extend((('Kv-Source', 'forged'), ('tenant', 'forged')))
    async with run_pair(
        store_address, store_standin, tmp_path, handler=keep
    ) as pair:
        await pair.cut(0, CutMode.RESET)
        await wait_for(lambda: is_served(pair))
        listen = pair.hosts[0].settings.listen
        answer = await exchange(listen.front, 'POST', PASSED_PATH, lines)

    assert answer.start == 'HTTP/1.1 200 OK'
    assert answer.texts_by_name()['set-cookie'] == ['a=1', 'b=2']
    assert received[-1].raw_path == PASSED_PATH
    headers = received[-1].headers
    assert headers.getall('Prompt-Prefix') == list(PARTS)
    assert headers.getall('Tenant') == ['team']
    assert 'Kv-Source' not in headers


async def is_served(pair: Pair) -> bool:
    """Return whether the first host gets a response for its caller."""
    status, _ = await pair.request(0, 'safe', 'r0')
    return status == HTTPStatus.OK


async def exchange(
    front: str, method: str, path: str, lines: Lines, body: bytes = b''
) -> Message:
    """Send a request with the lines of a caller and some more."""
    length = ('Content-Length', str(len(body)))
    every = (*OWN_LINES, length, *lines)
    return await send(front, encode(f'{method} {path} HTTP/1.1', every, body))


def front_of(world: World) -> str:
    """Return the address of a host for callers."""
    return world.settings.listen.front


def without(
    texts: dict[str, list[str]], left_out: Set[str]
) -> dict[str, list[str]]:
    """Return the texts but for those of some names."""
    return {name: text for name, text in texts.items() if name not in left_out}
