"""A fake of the operator interface of a host."""

import asyncio
import dataclasses

import geranium_statements as gs
import pytest
from aiohttp import test_utils, web
from click.testing import CliRunner
from geranium_model import ModelError, parse_document
from geranium_statements.responses import error_to_json, table_to_json
from geraniumctl.cli import main

TOKEN = 'operator-token-of-the-test'
ENGINES = gs.build_table(
    ('engine', 'role', 'waiting', 'accepting'),
    (('e-1', 'prefill', 3, True), ('e-[red]2', 'decode', None, False)),
    ('load reports lag',),
)


@dataclasses.dataclass
class Cluster:
    """State that the fake hosts share: configuration and operations."""

    document: object = dataclasses.field(
        default_factory=lambda: parse_document({}),
    )
    version: int = 0
    versions_by_operation: dict = dataclasses.field(default_factory=dict)

    def change(self, operation_id, apply):
        """Apply a change once for each operation id."""
        if operation_id not in self.versions_by_operation:
            self.document = apply(self.document)
            self.version += 1
            self.versions_by_operation[operation_id] = self.version
        version = self.versions_by_operation[operation_id]
        return gs.build_table(('version',), ((version,),))


class FakeOperator:
    """The operator interface of one host."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.received = []
        self.drops_responses = False
        self.is_unavailable = False
        self.outcome = 'unknown'
        self.missing_hosts = ()

    def application(self):
        app = web.Application(middlewares=[self._guard])
        app.router.add_post('/operator/v1/statements', self._execute)
        app.router.add_put('/operator/v1/configuration', self._configure)
        app.router.add_get('/operator/v1/state', self._state)
        return app

    @web.middleware
    async def _guard(self, request, handler):
        if request.headers['Authorization'] != f'Bearer {TOKEN}':
            return web.json_response(
                {'title': 'Token not accepted'}, status=401
            )
        if self.is_unavailable:
            problem = {'title': 'Unavailable', 'outcome': self.outcome}
            return web.json_response(problem, status=503)
        try:
            response = await handler(request)
        except gs.StatementError as error:
            return web.json_response(error_to_json(error), status=400)
        except ModelError as error:
            problem = {'title': 'Conflict', 'detail': str(error)}
            return web.json_response(problem, status=409)
        if self.drops_responses:
            request.transport.close()
        return response

    async def _execute(self, request):
        body = await request.json()
        self.received.append((body, request.headers['Operator']))
        statement = gs.parse_statement(body['statement'])
        return web.json_response(table_to_json(self._run(statement, body)))

    def _run(self, statement, body):
        match statement:
            case gs.Show(collection=gs.Collection.ENGINES):
                missing = (
                    gs.NoResponse(host, 'silent') for host in self.missing_hosts
                )
                merged = gs.merge_responses(
                    (gs.HostResponse('a', ENGINES), *missing)
                )
                return gs.run_query(statement, merged)
            case gs.Change(command):
                return self.cluster.change(
                    body['operation_id'],
                    lambda document: (
                        gs.apply_command(command, document).document
                    ),
                )
        return gs.build_table(('statement',), ((body['statement'],),))

    async def _configure(self, request):
        document = parse_document(await request.json())
        table = self.cluster.change(
            request.headers['Operation-Id'], lambda _current: document
        )
        return web.json_response(table_to_json(table))

    async def _state(self, _request):
        return web.json_response({'host': 'khomas-a-1', 'version': 3})


@pytest.fixture
def cluster():
    return Cluster()


@pytest.fixture
async def operator(cluster):
    fake = FakeOperator(cluster)
    async with test_utils.TestServer(fake.application()) as server:
        fake.address = f'127.0.0.1:{server.port}'
        yield fake


@pytest.fixture
async def other_operator(cluster):
    fake = FakeOperator(cluster)
    async with test_utils.TestServer(fake.application()) as server:
        fake.address = f'127.0.0.1:{server.port}'
        yield fake


@pytest.fixture
def invoke(operator, tmp_path):
    """Run the command line in a thread while the servers run."""

    async def call(*arguments, addresses=None, **environment):
        variables = {
            'GERANIUM_ADDRESS': ' '.join(addresses or (operator.address,)),
            'GERANIUM_TOKEN': TOKEN,
            'HOME': str(tmp_path),
            **environment,
        }
        return await asyncio.to_thread(
            CliRunner().invoke,
            main,
            arguments,
            env=variables,
            prog_name='geraniumctl',
        )

    return call
