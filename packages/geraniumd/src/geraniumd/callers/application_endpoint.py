"""The HTTP endpoint for calls to application services."""

from http import HTTPStatus

from aiohttp import web
from geranium_model import ApplicationService, Completed, NotRun, Usage

from ..state import RequestRecord
from .access import Grant
from .accounting import RequestAccounting
from .endpoints import AccessControl, AccessResult
from .idempotency import IdempotentRunner
from .incoming_requests import IncomingRequest, IncomingRequestReader
from .problems import problem_response
from .targets import ApplicationCall, ApplicationResponse

_PREFIX = '/apps/'


class ApplicationEndpoint:
    """Serves ``/apps/{service}/{path}``."""

    def __init__(
        self,
        access: AccessControl,
        request_reader: IncomingRequestReader,
        runner: IdempotentRunner,
        accounting: RequestAccounting,
    ) -> None:
        self._access = access
        self._request_reader = request_reader
        self._runner = runner
        self._accounting = accounting

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Handle a call to an application service."""
        incoming = self._request_reader.read(request.headers)
        if isinstance(incoming, NotRun):
            return problem_response(incoming, '-')
        grant = self._check(request)
        if isinstance(grant, NotRun):
            return problem_response(grant, incoming.request_id)
        call = await _read_call(request, incoming, grant)
        return await self._answer(call)

    async def flush(self) -> None:
        """Wait until the outcomes of all claimed calls are stored."""
        await self._runner.flush()

    def _check(self, request: web.Request) -> AccessResult:
        service = request.match_info['service']
        path = request.match_info.get('path', '')
        grant = self._access.check(request, service, f'/{path}')
        if isinstance(grant, NotRun):
            return grant
        if isinstance(grant.service, ApplicationService):
            return grant
        return NotRun(HTTPStatus.NOT_FOUND, 'No such service')

    async def _answer(self, call: ApplicationCall) -> web.Response:
        record = self._accounting.begin(call.incoming, call.team, call.service)
        result = await self._runner.run(call, record)
        request_id = call.incoming.request_id
        if isinstance(result, ApplicationResponse):
            self._accounting.end(record, Completed(), _usage(record))
            return _to_response(result, request_id)
        self._accounting.end(record, result, _usage(record))
        return problem_response(result, request_id)


async def _read_call(
    request: web.Request,
    incoming: IncomingRequest,
    grant: Grant,
) -> ApplicationCall:
    prefix = _PREFIX + request.match_info['service']
    raw_path = request.raw_path.removeprefix(prefix)
    return ApplicationCall(
        incoming=incoming,
        team=grant.team,
        service=grant.service.name,
        method=request.method,
        path=raw_path if raw_path.startswith('/') else f'/{raw_path}',
        headers=request.headers,
        body=await request.read(),
        is_repeatable=grant.route.is_idempotent(request.method),
    )


def _to_response(
    target_response: ApplicationResponse, request_id: str
) -> web.Response:
    response = web.Response(
        status=target_response.status,
        body=target_response.body,
        headers=target_response.headers,
    )
    response.headers['Request-Id'] = request_id
    return response


def _usage(record: RequestRecord) -> Usage:
    """Return the usage of a call, which is zero if it was never sent."""
    return Usage(requests=1) if record.attempts else Usage()
