"""HTTP API of the platform's objects."""

import json
import re
import time
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web

from .controls import parse_query_int, problem
from .exceptions import AbsentObjectError, PreconditionError
from .middleware import CallKind, PlatformMiddleware, outage_response
from .objects import ABSENT_VERSION, ObjectTable, StoredObject
from .settings import MS_PER_S

MAX_VALUE_BYTES = 1024 * 1024
MAX_WATCH_MS = 30_000
_ETAG = re.compile(r'"(\d+)"')


class ObjectApi:
    """Serves an object table.

    Args:
        table: The objects.
        middleware: Applies limits and faults to each call.
        is_outage: Returns whether watches must end with 503.
        record_write: Called with the key, version and operation of each
            write.
    """

    def __init__(
        self,
        table: ObjectTable,
        middleware: PlatformMiddleware,
        is_outage: Callable[[], bool],
        record_write: Callable[[str, int, str], None],
    ) -> None:
        self._table = table
        self._middleware = middleware
        self._is_outage = is_outage
        self._record_write = record_write

    def routes(self) -> tuple[web.RouteDef, ...]:
        """Return the routes under ``/objects``."""
        wrap = self._middleware.wrap
        path = '/objects/{key:.+}'
        return (
            web.get('/objects', wrap(CallKind.READ, self._list)),
            web.get(path, wrap(CallKind.READ, self._get)),
            web.put(path, wrap(CallKind.WRITE, self._put)),
            web.delete(path, wrap(CallKind.WRITE, self._delete)),
        )

    async def _list(self, request: web.Request) -> web.Response:
        prefix = request.query.get('prefix', '')
        rows = b', '.join(
            b'{"key": %b, "version": %d, "value": %b}'
            % (json.dumps(stored.key).encode(), stored.version, stored.text)
            for stored in self._table.with_prefix(prefix)
        )
        return _json_response(b'{"objects": [%b]}' % rows)

    async def _get(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        if 'watch' in request.query:
            return await self._watch(request, key)
        return _object_response(self._table.get(key))

    async def _watch(self, request: web.Request, key: str) -> web.Response:
        seen_version = parse_query_int(request, 'watch', ABSENT_VERSION)
        wait_ms = parse_query_int(request, 'wait_ms', MAX_WATCH_MS)
        deadline = time.monotonic() + min(wait_ms, MAX_WATCH_MS) / MS_PER_S
        while not self._is_outage():
            remaining_s = max(0, deadline - time.monotonic())
            if await self._table.wait_changed(key, seen_version, remaining_s):
                return _object_response(self._table.get(key))
            if time.monotonic() >= deadline:
                return web.Response(status=HTTPStatus.NOT_MODIFIED)
        return outage_response()

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        text = await request.read()
        if len(text) > MAX_VALUE_BYTES:
            return problem(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'too-large')
        _check_json(text)
        try:
            version = self._table.put(key, text, _condition_of(request))
        except PreconditionError as error:
            return _precondition_response(error)
        self._record_write(key, version, 'put')
        return web.Response(headers={'ETag': _etag(version)})

    async def _delete(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        try:
            version = self._table.delete(key, _condition_of(request))
        except PreconditionError as error:
            return _precondition_response(error)
        except AbsentObjectError:
            return _object_response(None)
        self._record_write(key, version, 'delete')
        return web.Response(status=HTTPStatus.NO_CONTENT)


def _etag(version: int) -> str:
    return f'"{version}"'


def _condition_of(request: web.Request) -> int | None:
    if request.headers.get('If-None-Match') == '*':
        return ABSENT_VERSION
    if_match = request.headers.get('If-Match')
    if if_match is None:
        return None
    match = _ETAG.fullmatch(if_match)
    if match is None:
        raise web.HTTPBadRequest(text='If-Match must be a quoted version')
    return int(match.group(1))


def _check_json(text: bytes) -> None:
    try:
        json.loads(text)
    except ValueError as error:
        raise web.HTTPBadRequest(text=f'not JSON: {error}') from error


def _object_response(stored: StoredObject | None) -> web.Response:
    if stored is None:
        return problem(HTTPStatus.NOT_FOUND, 'absent')
    response = _json_response(stored.text)
    response.headers['ETag'] = _etag(stored.version)
    return response


def _precondition_response(error: PreconditionError) -> web.Response:
    response = problem(HTTPStatus.PRECONDITION_FAILED, 'conflict', str(error))
    if error.current_version != ABSENT_VERSION:
        response.headers['ETag'] = _etag(error.current_version)
    return response


def _json_response(text: bytes) -> web.Response:
    return web.Response(body=text, content_type='application/json')
