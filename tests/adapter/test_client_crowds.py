"""Clients that nobody controls can't end a host's process.

The tests measure the memory of a process, so they run one at a time.
"""

import asyncio
import logging
import pathlib
from collections.abc import AsyncIterator

import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout, web
from geranium_platform_standins import (
    StandinCloud,
    StandinStore,
    StandinTarget,
)

from .client_crowds import CROWDS, DEADLINE_MS, Crowd, Group, meet_crowd
from .conftest import CONFIGURATION, Serve, make_settings, target_entry
from .limited_host import FILE_FDS, MAX_FDS, MEMORY_MB, LimitedHost
from .waits import wait_for

_log = logging.getLogger(__name__)
pytestmark = pytest.mark.xdist_group('client_crowds')

MB = 1_000_000
EVENT_BYTES = 50_000
KEPT_MB = MEMORY_MB // 4  # more than before, after the crowd has gone
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4194304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 5000,
}


@pytest.fixture
async def host(
    store_standin: StandinStore,
    store_address: str,
    serve: Serve,
    tmp_path: pathlib.Path,
) -> AsyncIterator[LimitedHost]:
    target = await serve(StandinTarget(respond).application())
    configuration = {
        **CONFIGURATION,
        'limits': LIMITS,
        'routes': [
            {**route, 'timeoutMs': DEADLINE_MS}
            for route in CONFIGURATION['routes']
        ],
    }
    store_standin.put('config', 'main', configuration)
    store_standin.put('servers', 't1', target_entry(target))
    settings = make_settings(
        platform={'address': store_address},
        cloud={'address': await serve(StandinCloud().application())},
    )
    limited = LimitedHost(settings, tmp_path)
    await limited.start()
    yield limited
    await limited.close()


async def respond(request: web.Request) -> web.StreamResponse:
    """Respond with as many bytes as the query says."""
    size = int(request.query['size'])
    headers = {
        'Request-Id': request.headers.get('Request-Id', ''),
        'Response-Signature': 'signed',
    }
    if not request.path.startswith('/streaming'):
        return web.Response(body=bytes(size), headers=headers)
    headers['Content-Type'] = 'text/event-stream'
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    for number in range(size // EVENT_BYTES):
        await response.write(b'id: %d\ndata: ' % (number + 1))
        await response.write(b'x' * EVENT_BYTES)
        await response.write(b'\n\n')
    return response


# 120 clients whose bodies lacked their last byte took 628 MB of a host with
# 300 MB; 120 that read no responses took 259 descriptors, more with each one.
@pytest.mark.parametrize('groups', CROWDS.values(), ids=CROWDS.keys())
async def test_process_outlives_a_crowd(
    host: LimitedHost, groups: list[Group]
) -> None:
    await wait_for(lambda: serves(host))
    before = host.resident_bytes('VmRSS')
    crowd = Crowd()
    try:
        most = await meet_crowd(host, crowd, groups)
        await wait_for(lambda: serves(host))
    finally:
        await crowd.close()

    assert host.is_alive
    peak = max(most.memory_bytes, host.resident_bytes('VmHWM'))
    _log.info('%d, at most %d, %d sockets', before, peak, most.sockets)
    assert peak < MEMORY_MB * MB
    assert most.sockets < MAX_FDS - FILE_FDS
    await wait_for(lambda: serves(host))

    async def has_let_go() -> bool:
        return host.usage().memory_bytes < before + KEPT_MB * MB

    await wait_for(has_let_go)


async def test_connection_rests_after_a_body_in_pieces(
    host: LimitedHost,
) -> None:
    """The last piece of a body counts as a head that is never completed."""
    await wait_for(lambda: serves(host))
    reader, writer = await asyncio.open_connection(*host.addresses['front'])
    for _ in range(2):
        writer.write(
            b'POST /safe/x?size=3 HTTP/1.1\r\nHost: example\r\n'
            b'Authorization: Bearer key\r\nContent-Length: 4\r\n\r\nbo'
        )
        await asyncio.sleep(0.2)
        writer.write(b'dy')
        head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200')
        assert await reader.readexactly(3) == bytes(3)
        await asyncio.sleep(LIMITS['headerTimeoutMs'] / 1000 + 1)
    writer.close()


async def serves(host: LimitedHost) -> bool:
    """Return whether an ordinary request is answered."""
    front, port = host.addresses['front']
    headers = {
        'Host': 'example',
        'Authorization': 'Bearer key',
        'Request-Id': 'ordinary',
        'Deadline-Ms': f'{DEADLINE_MS}',
    }
    url = f'http://{front}:{port}/safe/x?size=3'
    timeout = ClientTimeout(total=DEADLINE_MS / 1000)
    try:
        async with (
            ClientSession(headers=headers, timeout=timeout) as caller,
            caller.post(url, data=b'body') as response,
        ):
            return response.status == 200 and len(await response.read()) == 3
    except (ClientError, TimeoutError):
        return False
