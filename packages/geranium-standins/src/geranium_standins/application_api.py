"""The application stand-in as a web application."""

import asyncio
from http import HTTPStatus

from aiohttp import web

from .connections import drop_connection, hang
from .controls import Controls, problem
from .faults import ApplicationFaults
from .logs import Log
from .settings import CRASH_STATUS, MS_PER_S, ApplicationSettings

MAX_BODY_BYTES = 1 << 24


class Application:
    """Logs each call as an execution and returns a description of it."""

    def __init__(self, settings: ApplicationSettings) -> None:
        self._settings = settings
        self._controls = Controls(ApplicationFaults())
        self._log = Log('executions')
        self._executions = 0

    def create_app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(self._controls.routes())
        app.add_routes(self._log.routes())
        app.add_routes((web.route('*', '/{path:.*}', self._call),))
        return app

    async def _call(self, request: web.Request) -> web.Response:
        await self._controls.connections.track(request)
        body = await request.read()
        faults = self._controls.faults
        if faults.refuse:
            return problem(HTTPStatus.SERVICE_UNAVAILABLE, 'not-run', 'refused')
        if faults.silent:
            await hang()
        if faults.crash_marker and faults.crash_marker.encode() in body:
            self._settings.exit_process(CRASH_STATUS)
        number = self._execute(request)
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / MS_PER_S)
        return await self._respond(request, number)

    def _execute(self, request: web.Request) -> int:
        self._executions += 1
        headers = request.headers
        self._log.add(
            'executions',
            {
                'request_id': headers.get('Request-Id', ''),
                'idempotency_key': headers.get('Idempotency-Key', ''),
                'method': request.method,
                'path': request.path,
                'team': headers.get('Team', ''),
                'headers': sorted(headers),
            },
        )
        return self._executions

    async def _respond(
        self,
        request: web.Request,
        number: int,
    ) -> web.Response:
        if self._controls.connections.is_silent(request.transport):
            await hang()
        if self._controls.consume('drop_after_run'):
            return drop_connection(request)
        if self._controls.faults.fail:
            return problem(HTTPStatus.INTERNAL_SERVER_ERROR, 'ran-and-failed')
        answer = {
            'target': self._settings.target,
            'service': self._settings.service,
            'execution': number,
            'method': request.method,
            'path': request.path,
            'request_id': request.headers.get('Request-Id', ''),
        }
        return web.json_response(answer)


def create_application(settings: ApplicationSettings) -> web.Application:
    """Return an application stand-in as a web application."""
    return Application(settings).create_app()
