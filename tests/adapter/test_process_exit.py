"""A host's process that exits leaves nothing behind that callers wait for."""

import asyncio
import json
import pathlib
import signal
import socket
import sys
from collections.abc import AsyncIterator

import pytest
from aiohttp import ClientSession, web
from geranium_platform import PlatformSettings
from geranium_platform_standins import (
    StandinCloud,
    StandinStore,
    StandinTarget,
    render_settings,
)

from .conftest import (
    CONFIGURATION,
    Serve,
    make_settings,
    responds_ok,
    target_entry,
)
from .waits import ticks, wait_for

GRACE_S = 30  # more than callers take to read, however slow the machine is
SEGMENT_BYTES = 1200  # as in a network; the loopback takes megabytes at once
SIZES = range(20_000, 400_000, 20_000)  # steps below the buffer of a transport
EXITING_S = 0.5  # longer than an exit takes that waits for nothing
LONG_MS = 4000  # of a request that is held open


class HostProcess:
    """A host in a process of its own."""

    def __init__(self, settings: PlatformSettings, folder: pathlib.Path):
        self.settings = settings
        self._path = folder / 'local.toml'
        self._log_path = folder / 'log'
        self.process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> tuple[str, int]:
        """The address for callers."""
        host, _, port = self.settings.listen.front.rpartition(':')
        return host, int(port)

    def url(self, path: str) -> str:
        """Return the URL of a path on the host."""
        front = self.settings.listen.front
        return f'http://{front}{path}'

    async def start(self) -> None:
        """Return once the host serves callers."""
        self._path.write_text(render_settings(self.settings))
        with self._log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'geranium_platform',
                '--settings',
                str(self._path),
                stdout=log,
                stderr=log,
            )
        headers = {'Host': 'example', 'Authorization': 'Bearer key'}
        async with ClientSession(headers=headers) as caller:
            await wait_for(
                lambda: responds_ok(caller, self.url('/safe/x?size=3'))
            )

    async def close(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def log(self) -> str:
        """Return what the process has logged."""
        return self._log_path.read_text()


class Caller:
    """A caller's socket, which takes only what is read from it."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
        )

    async def connects(self, address: tuple[str, int]) -> bool:
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(self._socket, address)
        except OSError:
            return False
        return True

    async def send(self, kind: str, identity: str, size: int) -> None:
        lines = (
            f'POST /{kind}/x?size={size} HTTP/1.1',
            'Host: example',
            'Authorization: Bearer key',
            f'Request-Id: {identity}',
            f'Deadline-Ms: {LONG_MS}',
            'Content-Length: 0',
        )
        request = '\r\n'.join((*lines, '', '')).encode()
        await asyncio.get_running_loop().sock_sendall(self._socket, request)

    async def read(self, end: bytes) -> bytes:
        """Return what arrives until an end, or until the connection's."""
        received = b''
        while not received.endswith(end):
            loop = asyncio.get_running_loop()
            part = await loop.sock_recv(self._socket, 65536)
            if not part:
                break
            received += part
        return received

    def close(self) -> None:
        self._socket.close()


@pytest.fixture
async def process(
    store_standin: StandinStore,
    store_address: str,
    serve: Serve,
    tmp_path: pathlib.Path,
) -> AsyncIterator[HostProcess]:
    async def respond(request: web.Request) -> web.Response:
        text = 'end'.rjust(int(request.query['size']), 'x')
        headers = {'Response-Signature': 's'}
        if request.path.startswith('/streaming'):
            headers['Content-Type'] = 'text/event-stream'
            text = f'id: 1\ndata: {text}\n\n'
        return web.Response(text=text, headers=headers)

    target = await serve(StandinTarget(respond).application())
    routes = [
        {**route, 'timeoutMs': LONG_MS} for route in CONFIGURATION['routes']
    ]
    store_standin.put('config', 'main', {**CONFIGURATION, 'routes': routes})
    store_standin.put('servers', 't1', target_entry(target))
    settings = make_settings(
        platform={'address': store_address},
        cloud={'address': await serve(StandinCloud().application())},
    )
    bounds = settings.bounds.model_copy(update={'grace_s': GRACE_S})
    settings = settings.model_copy(update={'bounds': bounds})
    process = HostProcess(settings, tmp_path)
    await process.start()
    yield process
    await process.close()


# Answers that a caller's network had not taken yet were cut when the process
# exited: 100 kB after 82 kB, a stream of as much after 30 kB.
@pytest.mark.parametrize('kind', ['unsafe', 'streaming'])
async def test_answer_that_the_network_holds_back_is_sent_before_the_exit(
    process: HostProcess, kind: str
) -> None:
    callers = await fill_networks(process, kind)
    assert callers
    process.process.send_signal(signal.SIGTERM)
    async for _ in ticks():
        late = Caller()
        accepted = await late.connects(process.front)
        late.close()
        if not accepted:
            break
    await asyncio.sleep(EXITING_S)

    endings = {'unsafe': b'end', 'streaming': b'\r\n0\r\n\r\n'}
    for caller in callers:
        answer = await caller.read(endings[kind])
        assert answer.endswith(endings[kind])
        caller.close()
    assert await process.process.wait() == 0


async def fill_networks(process: HostProcess, kind: str) -> list[Caller]:
    """Return callers with answers that the host has written, and not sent.

    The last of them take more than a connection does. An answer that is larger
    than the host's buffer besides keeps its request open, so that its caller
    leaves.
    """
    callers = []
    for size in SIZES:
        caller = Caller()
        assert await caller.connects(process.front)
        await caller.send(kind, f'size-{size}', size)
        if await outcome_of(process, f'size-{size}') != 'Delivered':
            caller.close()
            return callers
        callers.append(caller)
    raise AssertionError('the network takes all')


async def outcome_of(process: HostProcess, identity: str) -> str:
    """Return the outcome that the host has logged for a request."""
    async for _ in ticks():
        for line in process.log().splitlines():
            if '"ended"' in line and f'"{identity}"' in line:
                return json.loads(line)['outcome']
    raise AssertionError(f'{identity} has not ended')
