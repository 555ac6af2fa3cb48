"""The HTTP endpoints for completions."""

from functools import partial
from http import HTTPStatus
from typing import TypeAlias

from aiohttp import web
from geranium_model import Completed, ModelService, NotRun, Outcome

from ..process import GatewaySettings
from .accounting import RequestAccounting
from .calls import CompletionCall, engine_body, parse_completion_body
from .completions import CompletionJob, CompletionRunner
from .endpoints import AccessControl
from .incoming_requests import IncomingRequest, IncomingRequestReader
from .problems import problem_response
from .sinks import BufferedSink, StreamSink

CallResult: TypeAlias = CompletionCall | NotRun


class ModelEndpoint:
    """Serves ``/v1/chat/completions`` and ``/v1/completions``."""

    def __init__(
        self,
        settings: GatewaySettings,
        access: AccessControl,
        request_reader: IncomingRequestReader,
        runner: CompletionRunner,
        accounting: RequestAccounting,
    ) -> None:
        self._settings = settings
        self._access = access
        self._request_reader = request_reader
        self._runner = runner
        self._accounting = accounting

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Handle a completion call."""
        incoming = self._request_reader.read(request.headers)
        if isinstance(incoming, NotRun):
            return problem_response(incoming, '-')
        call = await self._read_call(request, incoming)
        if isinstance(call, NotRun):
            return problem_response(call, incoming.request_id)
        if call.is_streamed:
            return await self._stream(request, call)
        return await self._respond_buffered(request, call)

    async def _read_call(
        self,
        request: web.Request,
        incoming: IncomingRequest,
    ) -> CallResult:
        body = parse_completion_body(await request.read(), request.path)
        if isinstance(body, NotRun):
            return body
        grant = self._access.check(request, body.model, request.path)
        if isinstance(grant, NotRun):
            return grant
        service = grant.service
        if not isinstance(service, ModelService):
            return _not_a_model(body.model)
        return CompletionCall(
            incoming=incoming,
            team=grant.team,
            key_id=grant.key_id,
            service=service,
            path=request.path,
            body=engine_body(body, service),
            is_streamed=body.stream,
            prompt_text=body.prompt_text(),
            max_tokens=body.token_limit(),
        )

    async def _stream(
        self,
        request: web.Request,
        call: CompletionCall,
    ) -> web.StreamResponse:
        sink = StreamSink(request, call, self._settings.caller_stall_s)
        outcome = await self._run(request, call, sink)
        if isinstance(outcome, Completed):
            return await sink.finish()
        if sink.response is None:
            return problem_response(outcome, call.incoming.request_id)
        await sink.fail(outcome)
        return sink.response

    async def _respond_buffered(
        self,
        request: web.Request,
        call: CompletionCall,
    ) -> web.Response:
        sink = BufferedSink(call, self._settings.max_buffered_answer_bytes)
        outcome = await self._run(request, call, sink)
        if isinstance(outcome, Completed):
            return sink.finish()
        return problem_response(outcome, call.incoming.request_id)

    async def _run(
        self,
        request: web.Request,
        call: CompletionCall,
        sink: StreamSink | BufferedSink,
    ) -> Outcome:
        record = self._accounting.begin(
            call.incoming,
            call.team,
            call.service.name,
        )
        job = CompletionJob(
            call,
            sink,
            record,
            partial(self._access.check, request, call.service.name, call.path),
        )
        result = await self._runner.run(job)
        self._accounting.end(record, result.outcome, result.usage)
        return result.outcome


def _not_a_model(name: str) -> NotRun:
    return NotRun(
        HTTPStatus.NOT_FOUND,
        'No such service',
        f'{name!r} is no model service.',
    )
