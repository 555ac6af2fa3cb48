"""The daemon's HTTP server for callers."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TypeAlias

from aiohttp import web
from geranium_model import ModelService, NotRun, Outcome, OutcomeUnknown

from ..hosts import HostDirectory
from ..process import GatewaySettings, Lifecycle, get_logger
from ..state import ConfigurationFollower
from .access import find_key, read_credentials
from .application_endpoint import ApplicationEndpoint
from .model_endpoint import ModelEndpoint
from .problems import problem_response

_MS_PER_S = 1000
_NO_REQUEST_ID = '-'

_INTERNAL_ERROR = OutcomeUnknown(
    'Internal error',
    'The daemon failed while it served the request.',
    HTTPStatus.INTERNAL_SERVER_ERROR,
)

Handler: TypeAlias = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Gateway:
    """Routes HTTP requests on the callers' address."""

    def __init__(
        self,
        settings: GatewaySettings,
        follower: ConfigurationFollower,
        directory: HostDirectory,
        lifecycle: Lifecycle,
        models: ModelEndpoint,
        applications: ApplicationEndpoint,
    ) -> None:
        self._settings = settings
        self._follower = follower
        self._directory = directory
        self._lifecycle = lifecycle
        self._models = models
        self._applications = applications
        self.running = 0
        self._idle = asyncio.Event()
        self._log = get_logger()

    def application(self) -> web.Application:
        """Return the HTTP application for the callers' address."""
        app = web.Application(
            client_max_size=self._settings.max_body_bytes,
            middlewares=[self._handle_errors],
        )
        serve_application = self._applications.serve
        app.router.add_get('/v1/hosts', self._list_hosts)
        app.router.add_get('/v1/models', self._list_models)
        app.router.add_post('/v1/chat/completions', self._models.serve)
        app.router.add_post('/v1/completions', self._models.serve)
        app.router.add_route('*', '/apps/{service}', serve_application)
        app.router.add_route(
            '*', '/apps/{service}/{path:.*}', serve_application
        )
        return app

    async def wait_idle(self) -> None:
        """Wait until no request runs and every outcome is stored."""
        while self.running:
            self._idle.clear()
            await self._idle.wait()
        await self._applications.flush()

    @web.middleware
    async def _handle_errors(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        outcome: Outcome
        self.running += 1
        if self._lifecycle.is_leaving:
            # Makes the caller connect to another host for its next request.
            request.protocol.keep_alive(False)
        try:
            return await handler(request)
        except web.HTTPException as error:
            outcome = self._refusal(error)
        except Exception:
            self._log.exception('request_failed', path=request.path)
            outcome = _INTERNAL_ERROR
        finally:
            self._end_request()
        request_id = request.headers.get('Request-Id', _NO_REQUEST_ID)
        return problem_response(outcome, request_id)

    def _end_request(self) -> None:
        self.running -= 1
        if not self.running:
            self._idle.set()

    def _refusal(self, error: web.HTTPException) -> NotRun:
        match error:
            case web.HTTPRequestEntityTooLarge():
                limit_bytes = self._settings.max_body_bytes
                return NotRun(
                    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    'Body too large',
                    f'The limit is {limit_bytes} bytes.',
                )
            case web.HTTPMethodNotAllowed():
                methods = ', '.join(sorted(error.allowed_methods))
                return NotRun(
                    HTTPStatus.METHOD_NOT_ALLOWED,
                    'Method not allowed',
                    f'The path takes {methods}.',
                )
            case web.HTTPNotFound():
                return NotRun(HTTPStatus.NOT_FOUND, 'No such path')
        return NotRun(error.status, error.reason)

    async def _list_hosts(self, request: web.Request) -> web.Response:
        zone = request.query.get('zone', '')
        rows = [
            {
                'host': host.host,
                'zone': host.zone,
                'address': host.caller_address,
                'weight': 1,
            }
            for host in self._directory.routable_hosts(zone)
        ]
        expires_in_ms = int(self._settings.address_ttl_s * _MS_PER_S)
        return web.json_response(
            {'hosts': rows, 'expires_in_ms': expires_in_ms},
        )

    async def _list_models(self, request: web.Request) -> web.StreamResponse:
        configuration = self._follower.configuration
        key = find_key(configuration, read_credentials(request.headers))
        if key is None:
            refusal = NotRun(HTTPStatus.UNAUTHORIZED, 'Key not accepted')
            return problem_response(refusal, _NO_REQUEST_ID)
        models = [
            {'id': service.name, 'object': 'model', 'owned_by': 'geraniumdrum'}
            for service in configuration.services_by_name.values()
            if isinstance(service, ModelService)
            and configuration.may_call(key.team, service.name)
        ]
        return web.json_response({'object': 'list', 'data': models})
