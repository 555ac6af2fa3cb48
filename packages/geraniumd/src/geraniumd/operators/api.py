"""The daemon's HTTP server for operators."""

import hmac
import json
import uuid
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TypeAlias

import pydantic
from aiohttp import web
from geranium_model import DocumentError, parse_document
from geranium_statements import StatementError, Table
from geranium_statements.responses import error_to_json, table_to_json

from ..process import (
    Lifecycle,
    OperatorConflictError,
    OperatorError,
    OperatorUnavailableError,
    Secrets,
    Telemetry,
)
from .dumps import StateDump
from .execution import StatementExecutor
from .fanout import HOST_SCOPE, SCOPE_PARAMETER, STATEMENTS_PATH
from .requests import OperatorRequest

MAX_CONFIGURATION_BYTES = 67_108_864

_BEARER = 'Bearer '
_HEALTH_PREFIX = '/operator/v1/health/'

Handler: TypeAlias = Callable[[web.Request], Awaitable[web.StreamResponse]]


class _StatementBody(pydantic.BaseModel):
    statement: str
    operation_id: str = ''
    author: str = ''


class OperatorApi:
    """Routes HTTP requests on the operators' address."""

    def __init__(
        self,
        secrets: Secrets,
        executor: StatementExecutor,
        dump: StateDump,
        telemetry: Telemetry,
        lifecycle: Lifecycle,
    ) -> None:
        self._secrets = secrets
        self._executor = executor
        self.dump = dump
        self._telemetry = telemetry
        self._lifecycle = lifecycle

    def application(self) -> web.Application:
        """Return the HTTP application for the operators' address."""
        app = web.Application(
            client_max_size=MAX_CONFIGURATION_BYTES,
            middlewares=[self._authenticate],
        )
        app.router.add_post(STATEMENTS_PATH, self._execute)
        app.router.add_put('/operator/v1/configuration', self._configure)
        app.router.add_get('/operator/v1/state', self._state)
        app.router.add_get('/operator/v1/metrics', self._metrics)
        app.router.add_get(f'{_HEALTH_PREFIX}live', self._live)
        app.router.add_get(f'{_HEALTH_PREFIX}ready', self._ready)
        return app

    @web.middleware
    async def _authenticate(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        if request.path.startswith(_HEALTH_PREFIX):
            return await handler(request)
        token = _token(request)
        expected = self._secrets.operator_token
        if not hmac.compare_digest(token.encode(), expected.encode()):
            return _error_response(
                HTTPStatus.UNAUTHORIZED, 'Token not accepted'
            )
        try:
            return await handler(request)
        except StatementError as error:
            return web.json_response(
                error_to_json(error), status=HTTPStatus.BAD_REQUEST
            )
        except (DocumentError, pydantic.ValidationError) as error:
            return _error_response(
                HTTPStatus.BAD_REQUEST, 'Malformed', str(error)
            )
        except OperatorError as error:
            return _operator_error_response(error)

    async def _execute(self, request: web.Request) -> web.Response:
        body = _StatementBody.model_validate_json(await request.read())
        operator_request = OperatorRequest(
            text=body.statement,
            operation_id=body.operation_id or uuid.uuid4().hex,
            author=body.author or _author(request),
            token=_token(request),
            is_local=request.query.get(SCOPE_PARAMETER) == HOST_SCOPE,
        )
        return _table_response(await self._executor.execute(operator_request))

    async def _configure(self, request: web.Request) -> web.Response:
        try:
            raw = json.loads(await request.read())
        except ValueError as error:
            return _error_response(
                HTTPStatus.BAD_REQUEST, 'Malformed', str(error)
            )
        operator_request = OperatorRequest(
            text='',
            operation_id=request.headers.get('Operation-Id', uuid.uuid4().hex),
            author=_author(request),
            token=_token(request),
        )
        document = parse_document(raw)
        table = await self._executor.replace_configuration(
            document, operator_request
        )
        return _table_response(table)

    async def _state(self, _request: web.Request) -> web.Response:
        return web.json_response(self.dump.build())

    async def _metrics(self, _request: web.Request) -> web.Response:
        return web.json_response(self._telemetry.collect())

    async def _live(self, _request: web.Request) -> web.Response:
        return web.json_response({'live': True})

    async def _ready(self, _request: web.Request) -> web.Response:
        is_ready = self._lifecycle.is_ready
        status = HTTPStatus.OK
        if not is_ready:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        return web.json_response({'ready': is_ready}, status=status)


def _token(request: web.Request) -> str:
    return request.headers.get('Authorization', '').removeprefix(_BEARER)


def _author(request: web.Request) -> str:
    return request.headers.get('Operator', request.remote or 'unknown')


def _table_response(table: Table) -> web.Response:
    return web.json_response(table_to_json(table))


def _error_response(status: int, title: str, detail: str = '') -> web.Response:
    return web.json_response({'title': title, 'detail': detail}, status=status)


def _operator_error_response(error: OperatorError) -> web.Response:
    match error:
        case OperatorConflictError():
            return _error_response(HTTPStatus.CONFLICT, 'Conflict', str(error))
        case OperatorUnavailableError():
            return _error_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'Unavailable',
                str(error),
            )
        case _:
            return _error_response(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                'Refused',
                str(error),
            )
