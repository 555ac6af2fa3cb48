"""Request handling shared by completions and prefills."""

import asyncio
from http import HTTPStatus

import pydantic
from aiohttp import web

from .batching import Batch
from .completions import (
    Completion,
    CompletionDocument,
    CompletionKind,
    RequestHeaders,
    build_completion,
)
from .connections import hang
from .controls import Controls, parse_body, problem
from .exceptions import RefusedError, UnservableRequestError
from .faults import EngineFaults
from .logs import Log, LogEntry
from .sequences import Sequence
from .settings import MS_PER_S, EngineSettings
from .streams import StreamEnd

DEFAULT_PRIORITY = 5
_COMPLETION = pydantic.TypeAdapter(CompletionDocument)


async def read_completion(
    request: web.Request,
    kind: CompletionKind,
    version: str,
) -> Completion:
    """Parse a request and return its completion.

    Raises:
        web.HTTPBadRequest: If a header or the body is malformed.
    """
    document = parse_body(_COMPLETION, await request.read())
    headers = RequestHeaders(
        request_id=request.headers.get('Request-Id', ''),
        offset=_header_int(request, 'Resume-Offset', 0),
        priority=_header_int(request, 'Request-Priority', DEFAULT_PRIORITY),
    )
    if not headers.request_id:
        raise web.HTTPBadRequest(text='Request-Id is missing')
    return build_completion(document, kind, headers, version)


def log_request(
    log: Log,
    request: web.Request,
    completion: Completion,
) -> LogEntry:
    """Log a request as running and return its log entry."""
    return log.add(
        'requests',
        {
            'request_id': completion.request_id,
            'path': request.path,
            'headers': sorted(request.headers),
            'offset': completion.offset,
            'priority': completion.priority,
            'prompt_tokens': completion.prompt_tokens,
            'outcome': 'running',
        },
    )


async def apply_faults(
    controls: Controls[EngineFaults],
    entry: LogEntry,
) -> None:
    """Delay the request, or hang if the engine is silent."""
    faults = controls.faults
    if faults.silent:
        entry['outcome'] = 'silent'
        await hang()
    try:
        await asyncio.sleep(faults.delay_ms / MS_PER_S)
    except asyncio.CancelledError:
        entry['outcome'] = StreamEnd.DISCONNECTED.value
        raise


def check_capacity(
    settings: EngineSettings,
    batch: Batch,
    completion: Completion,
) -> None:
    """Check that the engine has capacity for the request.

    Raises:
        RefusedError: If the waiting queue is full.
        UnservableRequestError: If it needs more than the whole KV memory.
    """
    if batch.sequence_table.waiting_count >= settings.max_waiting:
        raise RefusedError('too many requests wait')
    if completion.pieces > settings.kv_pieces:
        raise UnservableRequestError('larger than the KV memory')


def refusal_response(error: RefusedError) -> web.Response:
    """Return the response for a request of which nothing ran."""
    if isinstance(error, UnservableRequestError):
        return problem(HTTPStatus.BAD_REQUEST, 'unfit', str(error))
    return problem(HTTPStatus.SERVICE_UNAVAILABLE, 'not-run', str(error))


async def wait_until_ended(
    batch: Batch,
    sequence: Sequence,
    entry: LogEntry,
) -> StreamEnd:
    """Wait until a sequence has ended and complete its log entry.

    The sequence ends as disconnected if the caller disconnects.
    """
    try:
        return await asyncio.shield(sequence.ended)
    finally:
        batch.end_sequence(sequence, StreamEnd.DISCONNECTED)
        _complete_entry(entry, sequence)


def _complete_entry(entry: LogEntry, sequence: Sequence) -> None:
    entry['outcome'] = sequence.ended.result().value
    entry['cached_tokens'] = sequence.cached_tokens
    entry['next_offset'] = sequence.next_offset


def _header_int(request: web.Request, name: str, default: int) -> int:
    text = request.headers.get(name, str(default))
    if not text.isdecimal():
        raise web.HTTPBadRequest(text=f'{name} must be a whole number')
    return int(text)
