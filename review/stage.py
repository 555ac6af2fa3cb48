"""Hosts as processes before small stand-ins, for the scripts of this folder.

The stand-ins speak what the users' pages say. Everything listens on loopback
addresses, and all processes are ended by their ids.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPENDENCIES = ROOT / 'target' / 'deps'
HELD, BROKEN, NOT_RUN = 0, 1, 2
EXIT_STATUS_BROKEN = 10  # of the process; Python ends with 1 by itself
PAGE_BYTES = 1_000_000
BOUNDS = {
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
    'budgetSlack': 56,
    'requireFence': False,
    'leaseMs': 3000,
    'thawSlackMs': 300,
    'reportWindowS': 5,
    'usageTolerance': 0.05,
    'usageLateS': 10,
    'recoveryS': 12,
    'transitMs': 120,
    'retryAfterS': 8.5,
    'ttl_max_s': 5,
}


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of a configuration, whose path begins with its name."""
    return {
        'name': name,
        'host': 'a.example',
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeoutMs': 1000,
        'targetLatencyMs': 125,
        'targetGapMs': 250,
        'priority': 0,
        'maxAttempts': 1 if kind == 'unsafe' else 2,
        'public': False,
        **more,
    }


def configuration(
    version: int, routes: list[dict[str, Any]], keys: dict[str, list[str]]
) -> dict[str, Any]:
    """Return a configuration with the keys of each tenant."""
    services = sorted({one['service'] for one in routes})
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'maxConnections': 110, 'healthPath': '/health'}
            for name in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {'name': tenant, 'apiKeys': listed}
            for tenant, listed in keys.items()
        ],
    }


class Record:
    """Adds one line for each event to a file, which ``run.sh`` has begun."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('a', buffering=1, errors='backslashreplace')
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._began

    def line(self, event: str, **fields: object) -> None:
        """Write an event."""
        told = ' '.join(f'{name}={one}' for name, one in fields.items())
        self._file.write(f'{self.now():8.3f} {event} {told}\n')


class Store:
    """The platform's metadata store; each host has a door of its own."""

    def __init__(self, record: Record) -> None:
        self.revision = 10
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.raw_specs: dict[tuple[str, str], bytes] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.changed = asyncio.Event()
        self.record = record

    def put(
        self, kind: str, name: str, spec: Any, status: Any = None
    ) -> dict[str, Any]:
        """Write an object and return it."""
        known = self.objects.get((kind, name))
        if known and known['spec'] == spec and known['status'] == status:
            return known
        self.revision += 1
        created = known['metadata']['created'] if known else self.revision
        found = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        self.objects[kind, name] = found
        self._tell(kind, found, deleted=False)
        return found

    def put_bytes(self, kind: str, name: str, raw_spec: bytes) -> None:
        """Write an object whose spec are bytes that can't be read."""
        self.raw_specs[kind, name] = raw_spec
        self.put(kind, name, None)

    def remove(self, kind: str, name: str) -> dict[str, Any]:
        """Remove an object and return it."""
        found = self.objects.pop((kind, name))
        self.revision += 1
        self._tell(kind, found, deleted=True)
        return found

    def _tell(self, kind: str, found: dict[str, Any], *, deleted: bool) -> None:
        self.events.append((self.revision, kind, found, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def since(self, kind: str, revision: int) -> list[dict[str, Any]]:
        """Return the changes of a kind after a revision."""
        return [
            {'object': found, 'deleted': deleted}
            for at, of, found, deleted in self.events
            if of == kind and at > revision
        ]


def _encode(found: dict[str, Any], raw_spec: bytes | None) -> bytes:
    """Return an object in a list; a spec of odd bytes is handed out as it is."""
    if raw_spec is None:
        return json.dumps(found, separators=(',', ':')).encode()
    metadata = json.dumps(found['metadata'], separators=(',', ':')).encode()
    fields = b'"metadata":' + metadata + b',"spec":' + raw_spec
    return b'{' + fields + b',"status":null}'


class Door:
    """An address of the store: ``mode`` says how calls there end.

    ``ok``, ``busy`` (503) or ``silent`` (no answer).
    """

    def __init__(self, store: Store, name: str) -> None:
        self.store = store
        self.name = name
        self.mode = 'ok'
        self.calls: list[tuple[float, str, str]] = []

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=1 << 24)
        application.router.add_route('*', '/objects/{kind}', self._kind)
        application.router.add_route('*', '/objects/{kind}/{name}', self._one)
        return application

    async def _gate(self, request: web.Request) -> web.Response | None:
        self.calls.append((time.monotonic(), request.method, request.path_qs))
        if self.mode == 'silent':
            await asyncio.sleep(60)
        if self.mode == 'busy':
            return web.Response(status=503)
        await asyncio.sleep(0.004)
        return None

    async def _kind(self, request: web.Request) -> web.StreamResponse:
        body = await request.json() if request.method == 'POST' else None
        refused = await self._gate(request)
        if refused is not None:
            return refused
        kind = request.match_info['kind']
        store = self.store
        if body is not None:
            name = body['metadata']['name']
            if (kind, name) in store.objects:
                return web.json_response(store.objects[kind, name], status=409)
            return web.json_response(store.put(kind, name, body.get('spec')))
        if 'watch' in request.query:
            return await self._watch(request, kind)
        return self._list(kind, request.query.get('after', ''))

    def _list(self, kind: str, after: str) -> web.Response:
        """Return a page of a list, of about 1 MB at most."""
        items: list[bytes] = []
        truncated = False
        for (of, name), found in sorted(self.store.objects.items()):
            if of != kind or name <= after:
                continue
            if sum(map(len, items)) > PAGE_BYTES:
                truncated = True
                break
            items.append(_encode(found, self.store.raw_specs.get((of, name))))
        fields = json.dumps(
            {'truncated': truncated, 'storeRevision': self.store.revision}
        ).encode()
        body = b'{"items":[' + b','.join(items) + b'],' + fields[1:]
        return web.Response(body=body, content_type='application/json')

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        store = self.store
        since = int(request.query['watch'])
        until = time.monotonic() + int(request.query.get('waitMs', 0)) / 1000
        while not store.since(kind, since):
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(store.changed.wait(), left_s)
        if self.mode == 'silent':
            await asyncio.sleep(60)
        if self.mode == 'busy':
            return web.Response(status=503)
        return web.json_response(
            {
                'events': store.since(kind, since),
                'storeRevision': store.revision,
            }
        )

    async def _one(self, request: web.Request) -> web.StreamResponse:
        body = await request.json() if request.method == 'PUT' else None
        refused = await self._gate(request)
        if refused is not None:
            return refused
        kind, name = request.match_info['kind'], request.match_info['name']
        store = self.store
        found = store.objects.get((kind, name))
        if found is None:
            return web.json_response({}, status=404)
        revision = found['metadata']['revision']
        if body is not None:
            wanted = body.get('metadata', {}).get('revision')
            if wanted not in {None, revision}:
                return web.json_response(found, status=409)
            return web.json_response(store.put(kind, name, body.get('spec')))
        if request.method == 'DELETE':
            wanted = request.query.get('revision')
            if wanted is not None and int(wanted) != revision:
                return web.json_response(found, status=409)
            return web.json_response(store.remove(kind, name))
        return web.json_response(found)


@dataclasses.dataclass(frozen=True)
class CloudCall:
    """A call of a duty and when it arrived."""

    at: float
    path: str
    holder: str
    fence: int
    body: dict[str, Any]


class Cloud:
    """The platform's API: notes each call as it arrives."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.calls: list[CloudCall] = []

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.router.add_post('/{path}', self._call)
        return application

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.json()
        path = request.match_info['path']
        holder = request.headers['Duty-Holder']
        fence = int(request.headers['Fencing-Token'])
        now = self.record.now()
        self.calls.append(CloudCall(now, path, holder, fence, body))
        self.record.line(
            'cloud_call', path=path, holder=holder, fence=fence, body=body
        )
        await asyncio.sleep(0.004)
        return web.json_response({})


class Link:
    """The path from a host to an address, which may be cut for a while.

    It carries bytes as TCP does over a path that loses every packet while it
    is cut: a packet is sent again after 0.2, 0.6, 1.4, 3 and 6.2 s, the first
    one of a connection after 1, 3 and 7 s. Bytes on their way are lost if
    their sender resets the connection, and arrive if it only closes it.
    """

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self.is_cut = False
        self.on_data: Callable[[bytes], None] | None = None
        self._open: set[asyncio.Task[None]] = set()

    async def start(self, ip: str) -> str:
        """Listen on an address and return it."""
        server = await asyncio.start_server(self._begin, ip, 0)
        port = server.sockets[0].getsockname()[1]
        return f'{ip}:{port}'

    def _begin(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The event loop itself keeps no task alive.
        task = asyncio.create_task(self._serve(reader, writer))
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sent = _Incoming(reader)
        if not await self._is_opened(sent):
            writer.close()
            return
        try:
            there, back = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._carry(sent, back),
            self._carry(_Incoming(there), writer),
            return_exceptions=True,
        )
        writer.close()
        back.close()

    async def _is_opened(self, sent: '_Incoming') -> bool:
        """Return whether a connection opens before its opener gives up."""
        began = time.monotonic()
        for after_s in (1, 3, 7, 15):
            if not self.is_cut:
                return True
            await asyncio.sleep(began + after_s - time.monotonic())
            if sent.has_ended:
                return False
        return not self.is_cut

    async def _carry(
        self, sent: '_Incoming', writer: asyncio.StreamWriter
    ) -> None:
        while True:
            data = await sent.next()
            if self.on_data is not None:
                self.on_data(data)
            began, wait_s = time.monotonic(), 0.2
            while self.is_cut:
                await asyncio.sleep(wait_s - (time.monotonic() - began))
                wait_s += wait_s + 0.2
            if sent.is_reset:
                return
            if not data:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                return
            writer.write(data)
            with contextlib.suppress(OSError):
                await writer.drain()


class _Incoming:
    """What one end of a connection sends, and how it ends."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.has_ended = False
        self.is_reset = False
        self._queue: asyncio.Queue[bytes] = asyncio.Queue()
        self._reading = asyncio.create_task(self._read(reader))

    async def next(self) -> bytes:
        """Return the next bytes, none at the end."""
        return await self._queue.get()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        data = b'-'
        while data:
            try:
                data = await reader.read(65536)
            except OSError:
                data = b''
                self.is_reset = True
            if not data:
                self.has_ended = True
            self._queue.put_nowait(data)


class AppServer:
    """A server of an application service, which notes what it runs."""

    def __init__(self, identity: str, service: str, record: Record) -> None:
        self.identity = identity
        self.service = service
        self.record = record
        self.address = ''
        self.zone = ''
        self.born = int(time.time() * 1000)
        self.work_s = 0.02
        self.runner: web.AppRunner | None = None
        self.runs: list[tuple[float, str, str, str]] = []

    async def crash(self, stage: 'Stage', down_s: float) -> None:
        """Reset all connections, and start again after a while."""
        if self.runner is None:
            return
        self.record.line('server_crashes', server=self.identity)
        await self.stop()
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        host, _, port = self.address.rpartition(':')
        self.runner = await stage.listen(self.application(), host, int(port))
        stage.store.put('servers', self.identity, self.entry())
        self.record.line('server_is_back', server=self.identity)

    async def stop(self) -> None:
        """Close the address and reset all connections."""
        runner, self.runner = self.runner, None
        if runner is None or runner.server is None:
            return
        for site in tuple(runner.sites):
            await site.stop()
        for connection in tuple(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()

    def entry(self, state: str = 'ready', **more: Any) -> dict[str, Any]:
        """Return the spec of its entry in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': '1',
            'slots': 6,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': 0,
            'born': self.born,
            **more,
        }

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=1 << 24)
        application.router.add_route('*', '/{path:.*}', self._handle)
        return application

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        identity = request.headers.get('Request-Id', '')
        echo = {'Request-Id': identity}
        if request.headers.get('Expect-Instance') != self.identity:
            return web.Response(status=421, headers=echo)
        await request.read()
        if not identity:
            return web.Response(status=400, headers={'Not-Executed': '1'})
        team = request.headers.get('Tenant', '')
        self.runs.append((self.record.now(), identity, request.path, team))
        self.record.line(
            'server_runs',
            server=self.identity,
            request=identity,
            path=request.path,
            tenant=team,
        )
        return await self.answer(request, echo)

    async def answer(
        self, request: web.Request, echo: dict[str, str]
    ) -> web.StreamResponse:
        """Answer a request that has run."""
        await asyncio.sleep(self.work_s)
        identity = echo['Request-Id']
        signature = f'{self.identity}.{len(self.runs)}'
        return web.Response(
            body=f'{signature} {identity}'.encode(),
            headers={**echo, 'Response-Signature': signature},
        )


class FragileServer(AppServer):
    """A server that crashes when it begins to run one request."""

    harmful_path = '/safe/harmful'

    def __init__(
        self, identity: str, service: str, stage: 'Stage', back_s: float
    ) -> None:
        super().__init__(identity, service, stage.record)
        self._stage = stage
        self._back_s = back_s
        self._crashes: set[asyncio.Task[None]] = set()

    def harmful_arrivals(self) -> list[float]:
        """Return when the harmful request came."""
        return [
            at
            for at, _identity, path, _team in self.runs
            if path == self.harmful_path
        ]

    async def answer(
        self, request: web.Request, echo: dict[str, str]
    ) -> web.StreamResponse:
        """Answer a request, or crash."""
        if request.path == self.harmful_path:
            crash = asyncio.create_task(self.crash(self._stage, self._back_s))
            self._crashes.add(crash)
            crash.add_done_callback(self._crashes.discard)
            await asyncio.sleep(60)
        return await super().answer(request, echo)


class HostProcess:
    """A host of the deploy file as a process."""

    def __init__(
        self, stage: 'Stage', name: str, zone: str, number: int
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = stage.ip(number)
        self.door = Door(stage.store, name)
        self.links: dict[str, Link] = {}
        self.process: subprocess.Popen[bytes] | None = None
        self._stage = stage
        self._folder = stage.folder / name
        self._folder.mkdir()
        self.settings: dict[str, Any] = {}

    @property
    def front(self) -> str:
        """The address for clients."""
        return str(self.settings['listen']['front'])

    def write_settings(
        self, store: str, cloud: str, *, bootstrap: bool
    ) -> None:
        """Write the settings file as the platform does."""
        ip = self.ip
        if not self.settings:
            ports = free_ports(ip, 5)
            self._ports = ports
        front, ready, directory, first, last = self._ports
        self.settings = {
            'nodeName': self.name,
            'role': 'host',
            'machineClass': 'front',
            'serves': ['front', 'directory'],
            'ip': ip,
            'zone': self.zone,
            'region': 'r',
            'internalPorts': [first, last],
            'seeds': [],
            'bootstrap': bootstrap,
            'inTolerance': False,
            'discovery': 'platform',
            'entry': 'directory',
            'heartbeatMs': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry'],
            'zones': dict.fromkeys(self._stage.zones, 'r'),
            'listen': {
                'front': f'{ip}:{front}',
                'ready': f'{ip}:{ready}',
                'directory': f'{ip}:{directory}',
            },
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'tolerate': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': {**BOUNDS, **self._stage.bounds},
            'platform': {
                'address': store,
                'form': 'objects',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
                'minTtlMs': 1000,
            },
            'cloud': {
                'address': cloud,
                'ratePerS': 50.0,
                'duties': ['usage_report', 'scaler'],
                'dutyPerS': 50.0,
            },
        }
        (self._folder / 'local.toml').write_text(_toml(self.settings))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(DEPENDENCIES)
        environment['GERANIUMDRUM_SETTINGS'] = str(self._folder / 'local.toml')
        log = (self._folder / 'log.txt').open('ab')
        self.process = subprocess.Popen(
            ['python3', 'platform/serve.py'],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._stage.record.line(
            'host_started', host=self.name, pid=self.process.pid
        )

    def cut(self, *, is_cut: bool) -> None:
        """Cut the host off from the platform, or heal the cut."""
        for link in self.links.values():
            link.is_cut = is_cut
        self._stage.record.line('cut' if is_cut else 'healed', host=self.name)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self._stage.record.line('signal', host=self.name, name=number.name)

    def log(self) -> Iterator[dict[str, Any]]:
        """Yield the lines of its log."""
        path = self._folder / 'log.txt'
        for line in path.read_text(errors='replace').splitlines():
            with contextlib.suppress(ValueError):
                decoded = json.loads(line)
                if isinstance(decoded, dict):
                    yield decoded

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            answer = await ask(
                self.settings['listen']['ready'], 'GET', '/ready', {}, wait_s=1
            )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200


class Stage:
    """The stand-ins and hosts of one script."""

    def __init__(
        self,
        record: pathlib.Path,
        zones: tuple[str, ...],
        bounds: dict[str, Any] | None = None,
    ) -> None:
        self.record = Record(record)
        self.zones = zones
        self.bounds = bounds or {}
        self.store = Store(self.record)
        self.cloud = Cloud(self.record)
        self.hosts: list[HostProcess] = []
        self._temporary = tempfile.TemporaryDirectory(prefix='geranium-')
        self.folder = pathlib.Path(self._temporary.name)
        self._net = random.randrange(20, 250)
        self._sub = random.randrange(1, 250)
        self._runners: list[web.AppRunner] = []
        self._beats: set[asyncio.Task[None]] = set()

    def ip(self, number: int) -> str:
        """Return the loopback address with a number."""
        return f'127.{self._net}.{self._sub}.{number}'

    async def serve(self, application: web.Application, ip: str) -> str:
        """Serve an application and return its address."""
        runner = await self.listen(application, ip, 0)
        return f'{ip}:{runner.addresses[0][1]}'

    async def listen(
        self, application: web.Application, ip: str, port: int
    ) -> web.AppRunner:
        """Serve an application at an address."""
        runner = web.AppRunner(
            application, handler_cancellation=True, shutdown_timeout=0.1
        )
        await runner.setup()
        await web.TCPSite(runner, ip, port, reuse_address=True).start()
        self._runners.append(runner)
        return runner

    async def add_server(self, server: AppServer, zone: str, n: int) -> None:
        """Start a server and register it."""
        server.zone = zone
        server.runner = await self.listen(server.application(), self.ip(n), 0)
        port = server.runner.addresses[0][1]
        server.address = f'{self.ip(n)}:{port}'
        self.store.put('servers', server.identity, server.entry())

    async def add_hosts(self, zones: tuple[str, ...]) -> None:
        """Start a host in each of some zones, and wait until all are ready."""
        cloud = await self.serve(self.cloud.application(), self.ip(200))
        for number, zone in enumerate(zones, 1):
            host = HostProcess(self, f'front-{zone}-{number}', zone, number)
            self.hosts.append(host)
            door = await self.serve(host.door.application(), self.ip(201))
            host.links = {'store': Link(door), 'cloud': Link(cloud)}
            addresses = [
                await link.start(self.ip(202)) for link in host.links.values()
            ]
            host.write_settings(*addresses, bootstrap=True)
        for host in self.hosts:
            host.start()
        await self.until_ready(self.hosts)
        for host in self.hosts:
            host.write_settings(
                host.settings['platform']['address'],
                host.settings['cloud']['address'],
                bootstrap=False,
            )

    async def until_ready(
        self, hosts: list[HostProcess], limit_s: float = 25
    ) -> None:
        """Return once hosts are ready."""
        until = time.monotonic() + limit_s
        for host in hosts:
            while not await host.is_ready():
                if time.monotonic() > until:
                    raise NotRunError(f'{host.name} is not ready')
                await asyncio.sleep(0.1)

    async def cleanup(self) -> None:
        """End all processes that were started."""
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.send_signal(signal.SIGCONT)
        for host in self.hosts:
            if host.process is not None:
                host.process.wait()
        if os.environ.get('KEEP_LOGS'):
            for host in self.hosts:
                kept = pathlib.Path(os.environ['KEEP_LOGS'])
                source = self.folder / host.name / 'log.txt'
                (kept / f'{host.name}.log').write_bytes(source.read_bytes())
        for runner in self._runners:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(runner.cleanup(), 2)
        self._temporary.cleanup()


async def until(condition: Callable[[], bool], limit_s: float = 30) -> None:
    """Return once a condition holds.

    Raises:
        NotRunError: If it does not in time.
    """
    ends_at = time.monotonic() + limit_s
    while not condition():
        await asyncio.sleep(0.02)
        if time.monotonic() > ends_at:
            raise NotRunError('the case did not get so far')


class NotRunError(Exception):
    """The case could not run."""


class Answer:
    """A response as a client gets it; no status if there was none."""

    def __init__(
        self,
        status: int | None,
        headers: dict[str, str],
        body: bytes,
        *,
        complete: bool,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete

    @property
    def signed(self) -> bool:
        """Whether a server has signed it."""
        return 'response-signature' in self.headers


async def ask(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
    wait_s: float = 10,
) -> Answer:
    """Send a request on a new connection and return the answer."""
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(wait_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f'{method} {path} HTTP/1.1']
            named = {'Host': 'a.example', **headers, 'Connection': 'close'}
            if body or method != 'GET':
                named['Content-Length'] = str(len(body))
            lines.extend(f'{name}: {text}' for name, text in named.items())
            head = '\r\n'.join((*lines, '', ''))
            writer.write(head.encode('latin-1') + body)
            return await _read_answer(reader)
        finally:
            writer.close()


async def send_safe(
    stage: 'Stage', host: HostProcess, identity: str, path: str
) -> None:
    """Send a safe request as a client does; record the answer."""
    headers = {
        'Request-Id': identity,
        'Authorization': 'Bearer key1',
        'Deadline-Ms': '1000',
    }
    status = None
    with contextlib.suppress(OSError, TimeoutError):
        answer = await ask(host.front, 'GET', path, headers, wait_s=1.2)
        status = answer.status
    stage.record.line(
        'answer', host=host.name, request=identity, path=path, status=status
    )


async def send_ordinary(stage: 'Stage') -> None:
    """Send ordinary requests to each host in turn, five a second."""
    number = 0
    while True:
        number += 1
        host = stage.hosts[number % len(stage.hosts)]
        await send_safe(stage, host, f'r{number}', '/safe/x')
        await asyncio.sleep(0.2)


class Connection:
    """A connection of a client, which it keeps for many requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> 'Connection':
        """Open a connection."""
        host, _, port = address.rpartition(':')
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, path: str, headers: dict[str, str]) -> None:
        """Send a request without a body."""
        lines = [f'GET {path} HTTP/1.1', 'Host: a.example']
        lines.extend(f'{name}: {text}' for name, text in headers.items())
        self._writer.write('\r\n'.join((*lines, '', '')).encode())

    async def answer(self, wait_s: float) -> Answer:
        """Return the next answer."""
        async with asyncio.timeout(wait_s):
            return await _read_answer(self._reader)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(None, {}, b'', complete=False)
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    status = int(first.split()[1])
    body = bytearray()
    try:
        if headers.get('transfer-encoding') == 'chunked':
            while True:
                size = int(await reader.readuntil(b'\r\n'), 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    break
        else:
            length = int(headers.get('content-length', 0))
            body += await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, headers, bytes(body), complete=False)
    return Answer(status, headers, bytes(body), complete=True)


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports of an address that are free for TCP and UDP now."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            tcp = stack.enter_context(socket.socket())
            tcp.bind((ip, 0))
            ports.append(tcp.getsockname()[1])
        return ports


def _toml(settings: dict[str, Any]) -> str:
    """Return settings as TOML; JSON values on one line are valid there."""
    lines = [
        f'{name} = {json.dumps(one)}'
        for name, one in settings.items()
        if not isinstance(one, dict)
    ]
    for name, section in settings.items():
        if isinstance(section, dict):
            lines.append(f'[{name}]')
            lines.extend(
                f'{field} = {json.dumps(one)}' for field, one in section.items()
            )
    return '\n'.join(lines) + '\n'


def run_case(
    play: Callable[[Stage, bool], Awaitable[int]],
    make: Callable[[pathlib.Path], Stage],
) -> None:
    """Play a case and exit with its result.

    ``run.sh`` gives the path of the record, and 0 as the second argument if
    the disruption is left out.
    """
    record, trouble = sys.argv[1:]

    async def run() -> int:
        stage = make(pathlib.Path(record))
        running = asyncio.current_task()
        assert running is not None
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, running.cancel
        )
        stage.record.line('begun', trouble=trouble)
        try:
            async with asyncio.timeout(110):
                return await play(stage, trouble != '0')
        except (Exception, asyncio.CancelledError) as error:
            stage.record.line('case_not_run', error=repr(error))
            return NOT_RUN
        finally:
            await stage.cleanup()

    result = asyncio.run(run())
    sys.exit(EXIT_STATUS_BROKEN if result == BROKEN else result)
