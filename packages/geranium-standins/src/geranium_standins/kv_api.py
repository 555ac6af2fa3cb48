"""HTTP API that transfers KV caches between engines."""

import asyncio
import dataclasses
import itertools
from http import HTTPStatus

import pydantic
from aiohttp import ClientError, ClientTimeout, web
from aiohttp import request as send_request
from geranium_model import Role

from .batching import Batch
from .cache import KvMemory, Reservation
from .completions import Completion, CompletionKind
from .controls import Controls, parse_body, problem
from .exceptions import HandoffError, RefusedError
from .faults import EngineFaults
from .handoff import HandoffTable
from .logs import Log
from .request_handling import (
    apply_faults,
    check_capacity,
    log_request,
    read_completion,
    refusal_response,
    wait_until_ended,
)
from .sequences import Sequence
from .settings import US_PER_S, EngineSettings
from .state import EngineState
from .streams import StreamEnd

FETCH_TIMEOUT = ClientTimeout(total=5)


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class ImportDocument(_Strict):
    """Request to fetch a KV cache from another engine."""

    source: str
    kv: str
    request_id: str


class KvDocument(_Strict):
    """KV cache as transferred between engines."""

    prompt_tokens: pydantic.NonNegativeInt
    pieces: pydantic.NonNegativeInt
    prefixes: tuple[str, ...]


_IMPORT = pydantic.TypeAdapter(ImportDocument)
_KV = pydantic.TypeAdapter(KvDocument)


class KvApi:
    """Prefills prompts for other engines and imports their KV caches."""

    def __init__(
        self,
        settings: EngineSettings,
        state: EngineState,
        batch: Batch,
        memory: KvMemory,
        controls: Controls[EngineFaults],
        log: Log,
    ) -> None:
        self.exports = HandoffTable(memory)
        self.imports = HandoffTable(memory)
        self._settings = settings
        self._state = state
        self._batch = batch
        self._memory = memory
        self._controls = controls
        self._log = log
        self._counter = itertools.count()

    def routes(self) -> tuple[web.RouteDef, ...]:
        """Return the routes for KV cache transfer."""
        return (
            web.post('/kv/prefill', self._prefill),
            web.post('/kv/import', self._import),
            web.get('/kv/{handle}', self._export),
        )

    async def _prefill(self, request: web.Request) -> web.Response:
        await self._controls.connections.track(request)
        whole = await read_completion(
            request,
            CompletionKind.CHAT,
            self._state.version,
        )
        prompt = dataclasses.replace(whole, length=0, offset=0)
        entry = log_request(self._log, request, prompt)
        await apply_faults(self._controls, entry)
        try:
            self._check(prompt)
        except RefusedError as error:
            entry['outcome'] = 'refused'
            return refusal_response(error)
        sequence = Sequence(
            prompt,
            None,
            asyncio.get_running_loop().create_future(),
            exports_kv=True,
        )
        self._batch.submit(sequence)
        end = await wait_until_ended(self._batch, sequence, entry)
        return self._prefill_response(request, sequence, end)

    def _check(self, prompt: Completion) -> None:
        self._state.check_accepts(Role.DECODE)
        check_capacity(self._settings, self._batch, prompt)

    def _prefill_response(
        self,
        request: web.Request,
        sequence: Sequence,
        end: StreamEnd,
    ) -> web.Response:
        reservation = sequence.reservation
        if end is not StreamEnd.COMPLETED or reservation is None:
            return problem(HTTPStatus.CONFLICT, 'ended', end.value)
        engine = self._settings.engine
        number = next(self._counter)
        kv_name = f'{engine}-{number}'
        prompt_tokens = sequence.completion.prompt_tokens
        self.exports.add(kv_name, prompt_tokens, reservation)
        return web.json_response(
            {
                'kv': kv_name,
                'prompt_tokens': prompt_tokens,
                'pieces': reservation.pieces,
            },
        )

    async def _export(self, request: web.Request) -> web.Response:
        await self._controls.admit(request)
        handoff = self.exports.take(request.match_info['handle'])
        if handoff is None:
            return problem(HTTPStatus.NOT_FOUND, 'absent')
        reservation = handoff.reservation
        document = KvDocument(
            prompt_tokens=handoff.prompt_tokens,
            pieces=reservation.pieces,
            prefixes=reservation.prefixes,
        )
        self._memory.release(reservation)
        return web.json_response(document.model_dump(mode='json'))

    async def _import(self, request: web.Request) -> web.Response:
        await self._controls.admit(request)
        document = parse_body(_IMPORT, await request.read())
        try:
            self._state.check_accepts(Role.PREFILL)
            kv = await _fetch(document)
        except RefusedError as error:
            return refusal_response(error)
        except HandoffError as error:
            return problem(HTTPStatus.BAD_GATEWAY, 'not-run', str(error))
        reservation = self._memory.reserve(kv.prefixes, kv.pieces)
        if reservation is None:
            return refusal_response(RefusedError('no memory'))
        await self._transfer(reservation)
        self.imports.add(document.request_id, kv.prompt_tokens, reservation)
        return web.json_response({'pieces': kv.pieces})

    async def _transfer(self, reservation: Reservation) -> None:
        pieces = reservation.pieces - reservation.hits
        duration_us = pieces * self._settings.kv_us_per_piece
        try:
            await asyncio.sleep(duration_us / US_PER_S)
        except asyncio.CancelledError:
            self._memory.release(reservation)
            raise
        self._memory.store(reservation)


async def _fetch(document: ImportDocument) -> KvDocument:
    url = f'http://{document.source}/kv/{document.kv}'
    try:
        async with send_request(
            'GET',
            url,
            timeout=FETCH_TIMEOUT,
            raise_for_status=True,
        ) as response:
            return _KV.validate_json(await response.read())
    except (ClientError, TimeoutError) as error:
        raise HandoffError(f'{document.source}: {error}') from error
