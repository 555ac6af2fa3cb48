"""A deployment for scenarios, with its own event loop."""

import asyncio
import dataclasses
import json
from collections import defaultdict
from collections.abc import Coroutine, Mapping
from http import HTTPStatus
from typing import Any, TypeVar

import aiohttp
from geranium_standins.deployment import Deployment, DeploymentSettings
from geranium_standins.deployment_launch import launch_engine, launch_target
from geranium_standins.deployment_operator import OPERATOR_TOKEN
from geranium_standins.managed_process import ManagedProcess, wait_until

COMPLETED = 'completed'
LOST = 'connection-lost'
TARGET_RESPONSE = 'answered by the target'

ResultT = TypeVar('ResultT')


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Response that a caller received; status 0 if the connection failed."""

    status: int
    headers: Mapping[str, str]
    text: bytes

    @property
    def outcome(self) -> str:
        """Return the outcome of the request according to the response."""
        if not self.status:
            return LOST
        if self.status < HTTPStatus.BAD_REQUEST:
            return self._stream_outcome()
        if 'problem+json' not in self.headers['Content-Type']:
            return TARGET_RESPONSE
        return json.loads(self.text)['outcome']

    def _stream_outcome(self) -> str:
        _, error, problem = self.text.partition(b'event: error\ndata: ')
        return json.loads(problem)['outcome'] if error else COMPLETED


class World:
    """Runs a deployment for the steps of scenarios."""

    def __init__(self, settings: DeploymentSettings) -> None:
        self._runner = asyncio.Runner()
        self.deployment = Deployment(settings)
        self.secret = ''
        self.keys = 0
        self.received_by_name: dict[str, bytes] = {}
        self.responses_by_name: dict[str, list[Response]] = defaultdict(list)
        self.tasks_by_name: dict[str, asyncio.Task[Response]] = {}

    def run(self, coroutine: Coroutine[Any, Any, ResultT]) -> ResultT:
        return self._runner.run(coroutine)

    def open(self) -> None:
        self.run(self.deployment.__aenter__())

    def close(self) -> None:
        self.run(self.deployment.__aexit__())
        self._runner.close()

    async def heal(self) -> None:
        """End all faults, restart stopped processes and create a new key."""
        deployment = self.deployment
        standins = (
            deployment.platform,
            *deployment.engines_by_name.values(),
            *deployment.targets_by_name.values(),
        )
        for process in deployment.daemons_by_host.values():
            process.thaw()
        for process in standins:
            if process.is_running:
                await process.put_faults()
        if await self._restart_backends():
            await deployment.operator.load_configuration(
                deployment.configuration_document()
            )
        for number, host in enumerate(deployment.daemons_by_host, start=1):
            if not deployment.daemons_by_host[host].is_running:
                zone = deployment.settings.zone_of(number)
                await deployment.add_daemon(host, zone)
        for host in deployment.daemons_by_host:
            await deployment.wait_ready(host)
        for host in deployment.daemons_by_host:
            await deployment.wait_connected(host)
        self.secret = await self.create_key()
        self.responses_by_name.clear()
        self.received_by_name.clear()
        await wait_until(self._serves_chats)

    async def create_key(self) -> str:
        self.keys += 1
        return await self.deployment.operator.create_key(f'key-{self.keys}')

    async def statement(
        self,
        text: str,
        host: str = 'host-1',
        operation_id: str = '',
        author: str = 'operator',
    ) -> Response:
        """Execute a statement and return its response, also if refused."""
        return await self._request(
            'POST',
            self.deployment.operator_url(host, '/statements'),
            json={
                'statement': text,
                'operation_id': operation_id,
                'author': author,
            },
            headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'},
        )

    async def send(
        self,
        host: str,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        **options: Any,
    ) -> Response:
        """Send a request with the current key through a host."""
        sent = {'Authorization': f'Bearer {self.secret}', **(headers or {})}
        url = self.deployment.caller_url(host, path)
        return await self._request(method, url, headers=sent, **options)

    async def send_order(self, name: str, host: str) -> Response:
        """Send a non-idempotent order with its name as idempotency key."""
        response = await self.send(
            host,
            'POST',
            '/apps/app/orders',
            {'Idempotency-Key': name, 'Request-Id': name},
            data=f'order {name}'.encode(),
        )
        self.responses_by_name[name].append(response)
        return response

    async def send_chat(
        self,
        host: str,
        name: str,
        max_tokens: int,
        headers: Mapping[str, str] | None = None,
    ) -> Response:
        """Stream a chat; all chats of one length have the same response."""
        response = await self.send(
            host,
            'POST',
            '/v1/chat/completions',
            {'Request-Id': name, **(headers or {})},
            json={
                'model': self.deployment.settings.model_service,
                'stream': True,
                'max_tokens': max_tokens,
                'messages': [{'role': 'user', 'content': 'A long card'}],
            },
        )
        self.responses_by_name[name].append(response)
        return response

    async def wait_for(self, name: str) -> list[Response]:
        """Wait for the running task of a name and return its responses."""
        await self.tasks_by_name.pop(name)
        return self.responses_by_name[name]

    async def busy_engine(self) -> ManagedProcess:
        """Return an engine that is running a request."""
        for process in self.deployment.engines_by_name.values():
            log = await process.read_log()
            if any(row['outcome'] == 'running' for row in log['requests']):
                return process
        raise LookupError('no engine runs a request')

    async def executions(self, name: str) -> list[Mapping[str, Any]]:
        """Return the executions on all targets with a request id."""
        logs = [
            await process.read_log()
            for process in self.deployment.targets_by_name.values()
            if process.is_running
        ]
        return [
            execution
            for log in logs
            for execution in log['executions']
            if execution['request_id'] == name
        ]

    async def put_target_faults(self, **switches: Any) -> None:
        for process in self.deployment.targets_by_name.values():
            await process.put_faults(**switches)

    async def put_engine_faults(self, **switches: Any) -> None:
        for process in self.deployment.engines_by_name.values():
            if process.is_running:
                await process.put_faults(**switches)

    async def wait_executed(self, name: str) -> None:
        async def has_run() -> bool:
            return bool(await self.executions(name))

        await wait_until(has_run)

    async def _restart_backends(self) -> bool:
        deployment = self.deployment
        starts = [
            launch_engine(fresh, deployment.settings, number)
            for number, fresh in _replace_dead(
                deployment.engines_by_name, deployment
            )
        ]
        starts.extend(
            launch_target(fresh, deployment.settings)
            for _, fresh in _replace_dead(
                deployment.targets_by_name, deployment
            )
        )
        await asyncio.gather(*starts)
        return bool(starts)

    async def _request(self, method: str, url: str, **options: Any) -> Response:
        # A new connection for each request prevents hidden retries.
        connector = aiohttp.TCPConnector(force_close=True)
        try:
            async with (
                aiohttp.ClientSession(connector=connector) as session,
                session.request(method, url, **options) as response,
            ):
                text = await self._read(response)
                return Response(response.status, response.headers, text)
        except (aiohttp.ClientError, OSError):
            return Response(0, {}, b'')

    async def _read(self, response: aiohttp.ClientResponse) -> bytes:
        name = response.request_info.headers.get('Request-Id', '')
        self.received_by_name[name] = b''
        async for chunk in response.content.iter_any():
            self.received_by_name[name] += chunk
        return self.received_by_name[name]

    async def _serves_chats(self) -> bool:
        responses = [
            await self.send_chat(host, 'probe', 1)
            for host in self.deployment.daemons_by_host
        ]
        self.responses_by_name.clear()
        return all(response.outcome == COMPLETED for response in responses)


def _replace_dead(
    processes_by_name: dict[str, ManagedProcess],
    deployment: Deployment,
) -> list[tuple[int, ManagedProcess]]:
    replaced = []
    for number, name in enumerate(processes_by_name, start=1):
        if not processes_by_name[name].is_running:
            processes_by_name[name] = ManagedProcess(name, deployment.folder)
            replaced.append((number, processes_by_name[name]))
    return replaced


async def has_version(
    deployment: Deployment, engine: str, version: str
) -> bool:
    """Return whether an engine serves with a version of its model."""
    url = deployment.engines_by_name[engine].url
    async with deployment.http.get(f'{url}/load') as response:
        report = await response.json()
    return (report['version'], report['state']) == (version, 'live')
