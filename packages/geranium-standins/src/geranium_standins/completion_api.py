"""HTTP API for completions of an engine."""

import asyncio
import dataclasses
import functools
import uuid
from http import HTTPStatus

from aiohttp import web
from geranium_model import Role

from .batching import Batch
from .completions import Completion, CompletionKind
from .controls import Controls, problem
from .events import EventBuilder
from .exceptions import RefusedError, UnservableRequestError
from .faults import EngineFaults
from .handoff import HandoffTable
from .logs import Log, LogEntry
from .request_handling import (
    apply_faults,
    check_capacity,
    log_request,
    read_completion,
    refusal_response,
    wait_until_ended,
)
from .sequences import Sequence
from .settings import EngineSettings
from .state import EngineState
from .streams import EventStream, StreamEnd

CROSSED_TOKENS = 3


class CompletionApi:
    """Submits completions to the batch and streams their tokens."""

    def __init__(
        self,
        settings: EngineSettings,
        state: EngineState,
        batch: Batch,
        imports: HandoffTable,
        controls: Controls[EngineFaults],
        log: Log,
    ) -> None:
        self._settings = settings
        self._state = state
        self._batch = batch
        self._imports = imports
        self._controls = controls
        self._log = log
        self._previous: Completion | None = None

    def routes(self) -> tuple[web.RouteDef, ...]:
        """Return the routes of completions."""
        chat = functools.partial(self._complete, CompletionKind.CHAT)
        text = functools.partial(self._complete, CompletionKind.TEXT)
        return (
            web.post('/v1/chat/completions', chat),
            web.post('/v1/completions', text),
            web.post('/requests/{request_id}/cancel', self._cancel),
        )

    async def _complete(
        self,
        kind: CompletionKind,
        request: web.Request,
    ) -> web.StreamResponse:
        await self._controls.connections.track(request)
        completion = await read_completion(request, kind, self._state.version)
        entry = log_request(self._log, request, completion)
        await apply_faults(self._controls, entry)
        try:
            self._check(completion)
        except RefusedError as error:
            entry['outcome'] = 'refused'
            return refusal_response(error)
        if self._state.version == self._settings.bad_version:
            entry['outcome'] = 'failed'
            return problem(HTTPStatus.INTERNAL_SERVER_ERROR, 'ran-and-failed')
        return await self._stream(request, completion, entry)

    def _check(self, completion: Completion) -> None:
        self._state.check_accepts(Role.PREFILL)
        check_capacity(self._settings, self._batch, completion)
        if completion.offset > completion.length + 1:
            raise UnservableRequestError('the answer ends before the offset')

    async def _stream(
        self,
        request: web.Request,
        completion: Completion,
        entry: LogEntry,
    ) -> web.StreamResponse:
        stream = EventStream(request, self._controls)
        await stream.open()
        self._send_crossed(stream, completion)
        imported = self._imports.take_for(completion)
        sequence = Sequence(
            completion,
            stream,
            asyncio.get_running_loop().create_future(),
            reservation=imported,
            is_prefilled=imported is not None,
        )
        self._batch.submit(sequence)
        end = await wait_until_ended(self._batch, sequence, entry)
        return await stream.close(end)

    def _send_crossed(self, stream: EventStream, own: Completion) -> None:
        other = self._previous
        self._previous = own
        if not self._controls.consume('crossed'):
            return
        if other is None or other.request_id == own.request_id:
            other = dataclasses.replace(
                own,
                request_id=str(uuid.uuid4()),
                seed=own.seed + 1,
            )
        events = EventBuilder(other)
        for offset in range(min(CROSSED_TOKENS, other.length)):
            stream.send(events.token(offset))
        stream.send(events.done())

    async def _cancel(self, request: web.Request) -> web.Response:
        await self._controls.admit(request)
        request_id = request.match_info['request_id']
        self._imports.drop(request_id)
        cancelled = self._batch.end(request_id, StreamEnd.CANCELLED)
        return web.json_response({'cancelled': cancelled})
