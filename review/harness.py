"""A small deployment on loopback addresses, and a record of what it did.

The hosts are processes with the command of the deploy file. The store is the
project's stand-in, with one address for each host, so that it can turn away
some of them. Targets and clients are plain HTTP over sockets.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any

from aiohttp import web
from geranium_platform_standins import StandinCloud, StandinStore

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BROKEN, HELD, NOT_RUN = 10, 0, 2  # as run.sh expects them
START_LIMIT_S = 30
CASE_LIMIT_S = 110
FIRST_NETWORK = 70
HOST_NAME = 'review.example'
BOUNDS = {  # those of panyard-rooms
    'seedLagS': 3,
    'reuseAfterS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'maxStretchMs': 5000,
    'strictRevoke': True,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetSlack': 58,
    'requireFence': False,
    'leaseMs': 3000,
    'thawSlackMs': 300,
    'reportWindowS': 5,
    'usageTolerance': 0.05,
    'usageLateS': 10,
    'recoveryS': 12,
    'transitMs': 120,
    'retryAfterS': 9.3,
    'ttl_max_s': 5,
}

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
HeaderLines = dict[str, str] | list[tuple[str, str]]


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """Writes what happened to the ``record.txt`` of a case.

    Args:
        path: The file, to which lines are added.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.case = path.parent.name
        self._file = path.open('a', buffering=1)
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, what: str, **fields: object) -> float:
        """Write a line; return its time."""
        at = self.now()
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{at:9.3f} {what} {text}\n')
        return at


class Door:
    """An address of the store for one host.

    ``status`` is the status of all responses, if it is set. An answer that is
    being waited for is cut off then.
    """

    def __init__(self, store: StandinStore, middlewares: Sequence[Any]) -> None:
        self.status: int | None = None
        self.address = ''
        self._store = store
        self._middlewares = middlewares

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Listen on a free port."""
        application = self._store.application()
        application.middlewares.extend((self._check, *self._middlewares))
        self.address = await serve(stack, application)

    @web.middleware
    async def _check(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if self.status is None:
            response = await handler(request)
        if self.status is not None:
            return web.Response(status=self.status)
        return response


class Host:
    """A process of the system, on an address of its own."""

    def __init__(
        self, name: str, zone: str, ip: str, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        ports = free_ports(self.ip, 5)
        self.front = f'{self.ip}:{ports[0]}'
        self.ready = f'{self.ip}:{ports[1]}'
        self.directory = f'{self.ip}:{ports[2]}'
        self.peers_port = ports[3]
        self.metrics_port = ports[4]
        self.process: asyncio.subprocess.Process | None = None
        self._folder = folder

    async def start(
        self, store: str, cloud: str, *, bootstrap: bool = True
    ) -> None:
        """Start the process with the command of the deploy file."""
        path = self._folder / f'{self.name}.toml'
        path.write_text(self._settings(store, cloud, bootstrap))
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = role['roles']['host']['run'].split(' ')
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['GERANIUMDRUM_SETTINGS'] = str(path)
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def append_setting(self, line: str) -> None:
        """Add a line at the head of the settings file."""
        path = self._folder / f'{self.name}.toml'
        changed = path.with_suffix('.new')
        changed.write_text(f'{line}\n{path.read_text()}')
        changed.replace(path)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1):
                answer = await fetch(self.ready, 'GET', '/ready', {})
            return answer.status == 200
        return False

    async def stop(self) -> None:
        """End the process."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def log(self) -> str:
        """Return what the process has written."""
        return (self._folder / f'{self.name}.log').read_text()

    def _settings(self, store: str, cloud: str, bootstrap: bool) -> str:
        plain = {
            'nodeName': self.name,
            'role': 'host',
            'machineClass': 'front',
            'serves': ['front', 'directory'],
            'ip': self.ip,
            'zone': self.zone,
            'region': 'review',
            'internalPorts': [self.peers_port, self.peers_port],
            'bootstrap': bootstrap,
            'discovery': 'platform',
            'entry': 'directory',
            'heartbeatMs': 1200,
        }
        listen = {
            'front': self.front,
            'ready': self.ready,
            'directory': self.directory,
            'metricsPort': self.metrics_port,
        }
        limits = {
            'cpuShare': 0.537,
            'cores': 2,
            'memoryMb': 300,
            'maxFds': 4100,
            'linkMbps': 1000.0,
        }
        sections = {
            'listen': listen,
            'limits': limits,
            'bounds': BOUNDS,
            'platform': {'address': store, 'form': 'objects'},
            'cloud': {'address': cloud},
        }
        lines = _fields(plain)
        for name, section in sections.items():
            lines += [f'[{name}]', *_fields(section)]
        return '\n'.join(lines)


class Deployment:
    """Hosts, their store, the provider and the targets."""

    def __init__(
        self,
        record: Record,
        stack: contextlib.AsyncExitStack,
        folder: pathlib.Path,
    ) -> None:
        self.record = record
        self.store = StandinStore()
        self.cloud = StandinCloud()
        self.hosts: list[Host] = []
        self.doors: dict[str, Door] = {}
        self.middlewares: list[Any] = []  # of the store
        self._runners_by_target: dict[str, web.AppRunner] = {}
        self.stack = stack
        self.folder = folder
        self._cloud_address = ''
        self._numbers = itertools.count(1)
        self._born_ms = int(time.time() * 1000) - 60_000

    async def start(self, zones: str) -> None:
        """Start one host for each letter, which is its zone."""
        await self.prepare(zones)
        for host in self.hosts:
            await self.start_host(host, bootstrap=True)
        await self.wait_until_ready()

    async def prepare(self, zones: str) -> None:
        """Open the store and the provider for hosts that don't run yet."""
        self._cloud_address = await serve(self.stack, self.cloud.application())
        for number, zone in enumerate(zones):
            place = zones[:number].count(zone) + 1
            # Cases may run at once, each in a part of the loopback network.
            ip = f'127.0.{FIRST_NETWORK + int(self.record.case)}.{number + 1}'
            host = Host(f'front-{zone}-{place}', zone, ip, self.folder)
            self.hosts.append(host)
            self.stack.push_async_callback(host.stop)
            self.doors[host.name] = Door(self.store, self.middlewares)
            await self.doors[host.name].open(self.stack)

    async def start_host(self, host: Host, *, bootstrap: bool = False) -> None:
        """Start the process of a host."""
        address = self.doors[host.name].address
        await host.start(address, self._cloud_address, bootstrap=bootstrap)
        self.record.write('started', host=host.name)

    async def wait_until_ready(self) -> None:
        """Wait until all hosts are ready."""
        deadline = self.record.now() + START_LIMIT_S
        for host in self.hosts:
            while not await host.is_ready():
                if self.record.now() > deadline:
                    raise CannotRunError(f'{host.name} is not ready')
                await asyncio.sleep(0.1)
            self.record.write('answered', path='/ready', host=host.name)

    async def add_target(
        self, service: str, zone: str, handler: Handler
    ) -> str:
        """Start a target and write its entry; return its identity."""
        identity = f'i-{next(self._numbers):08x}'

        async def answer(request: web.Request) -> web.StreamResponse:
            wanted = request.headers.get('Expect-Instance', identity)
            if wanted != identity:
                return web.Response(status=421, headers=echo(request))
            return await handler(request)

        application = web.Application()
        application.router.add_route('*', '/{path:.*}', answer)
        runner = await start_runner(self.stack, application)
        self._runners_by_target[identity] = runner
        self.add_entry(service, zone, address_of(runner), identity)
        return identity

    def set_state(self, identity: str, state: str) -> None:
        """Write the state of a target into its entry."""
        entry = self.store.spec('servers', identity)
        self.store.put('servers', identity, {**entry, 'state': state})

    async def remove_target(self, identity: str) -> None:
        """Let a target exit, and remove its entry."""
        await self._runners_by_target.pop(identity).cleanup()
        self.store.remove('servers', identity)

    def add_entry(
        self, service: str, zone: str, address: str, identity: str = 'i-1'
    ) -> None:
        """Write the entry of a target."""
        entry = {
            'service': service,
            'address': address,
            'zone': zone,
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': 0,
            'born': self._born_ms,
        }
        self.store.put('servers', identity, entry)

    def configure(self, document: dict[str, Any]) -> float:
        """Write a configuration; return the time of its acknowledgement."""
        self.store.put('config', 'main', document)
        return self.record.write('configured', version=document['version'])


@contextlib.asynccontextmanager
async def deployment(record: Record) -> AsyncIterator[Deployment]:
    """Open a deployment; end all its processes afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        async with contextlib.AsyncExitStack() as stack:
            yield Deployment(record, stack, pathlib.Path(folder))


class Answer:
    """A response, and whether it is complete."""

    def __init__(
        self,
        status: int,
        headers: dict[str, str],
        body: bytes,
        *,
        complete: bool,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


class Client:
    """A client's connection, which is kept for several requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, address: str) -> 'Client':
        """Open a connection."""
        ip, _, port = address.rpartition(':')
        return cls(*await asyncio.open_connection(ip, int(port)))

    async def send(
        self, method: str, path: str, headers: HeaderLines, body: bytes = b''
    ) -> Answer:
        """Send a request and return the response.

        An answer without a status means that the connection has ended first.
        """
        lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST_NAME}']
        listed = headers.items() if isinstance(headers, dict) else headers
        lines += [f'{name}: {text}' for name, text in listed]
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        self._writer.write('\r\n'.join((*lines, '', '')).encode() + body)
        try:
            await self._writer.drain()
            head = await self._reader.readuntil(b'\r\n\r\n')
        except (OSError, asyncio.IncompleteReadError):
            return Answer(0, {}, b'', complete=False)
        first, *others = head.decode().strip().split('\r\n')
        found = dict(line.split(': ', 1) for line in others)
        body, complete = await self._body(found)
        status = int(first.split(' ')[1])
        return Answer(status, found, body, complete=complete)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _body(self, headers: dict[str, str]) -> tuple[bytes, bool]:
        body = b''
        try:
            if 'Content-Length' in headers:
                length = int(headers['Content-Length'])
                return await self._reader.readexactly(length), True
            while True:
                line = await self._reader.readuntil(b'\r\n')
                size = int(line, 16)
                chunk = await self._reader.readexactly(size + 2)
                if not size:
                    return body, True
                body += chunk[:-2]
        except (OSError, asyncio.IncompleteReadError):
            return body, False


async def fetch(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
) -> Answer:
    """Send one request on a new connection."""
    client = await Client.connect(address)
    try:
        return await client.send(method, path, headers, body)
    finally:
        client.close()


def echo(request: web.Request, signature: str = '') -> dict[str, str]:
    """Return the headers of a target's response."""
    headers = {'Request-Id': request.headers.get('Request-Id', '')}
    if signature:
        headers['Response-Signature'] = signature
    return headers


async def serve(
    stack: contextlib.AsyncExitStack, application: web.Application
) -> str:
    """Serve an application on a free port; return its address."""
    return address_of(await start_runner(stack, application))


def address_of(runner: web.AppRunner) -> str:
    """Return the address that a runner serves."""
    ip, port = runner.addresses[0][:2]
    return f'{ip}:{port}'


async def start_runner(
    stack: contextlib.AsyncExitStack, application: web.Application
) -> web.AppRunner:
    """Serve an application on a free port; return its runner."""
    runner = web.AppRunner(
        application, shutdown_timeout=0, handler_cancellation=True
    )
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    return runner


def free_ports(address: str, count: int) -> list[int]:
    """Return ports of an address that are free now."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server((address, 0)))
            for _ in range(count)
        ]
        return [server.getsockname()[1] for server in sockets]


def run_case(case: Callable[[Deployment], Awaitable[bool]]) -> int:
    """Run a case, which returns whether the rule held; return the exit code.

    The program's argument is the path of ``record.txt``.
    """
    record = Record(pathlib.Path(sys.argv[1]))

    async def run() -> bool:
        async with deployment(record) as deployed:
            try:
                return await case(deployed)
            finally:
                keep = os.environ.get('KEEP_LOGS')
                for host in deployed.hosts if keep else ():
                    path = pathlib.Path(keep or '') / f'{host.name}.log'
                    path.write_text(host.log())

    async def run_in_time() -> bool:
        async with asyncio.timeout(CASE_LIMIT_S):
            return await run()

    try:
        held = asyncio.run(run_in_time())
    except Exception as error:
        # Whatever went wrong, it is no result of the case.
        record.write('not run', error=repr(error))
        return NOT_RUN
    record.write('held' if held else 'broken', trouble=TROUBLE)
    return HELD if held else BROKEN


def _fields(section: dict[str, Any]) -> list[str]:
    # JSON values on one line are valid TOML values.
    return [f'{name} = {json.dumps(one)}' for name, one in section.items()]
