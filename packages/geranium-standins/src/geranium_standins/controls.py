"""Fault switches over HTTP."""

import dataclasses
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Generic, TypeVar

import pydantic
from aiohttp import web

from .connections import Connections, hang
from .faults import ApplicationFaults, EngineFaults, PlatformFaults

FaultsT = TypeVar('FaultsT', PlatformFaults, EngineFaults, ApplicationFaults)


class Controls(Generic[FaultsT]):
    """Holds a stand-in's fault switches and serves ``/faults``.

    Args:
        initial: Initial switches.
        on_change: Called with the switches after each change over HTTP.
    """

    def __init__(
        self,
        initial: FaultsT,
        on_change: Callable[[FaultsT], None] | None = None,
    ) -> None:
        self.faults: FaultsT = initial
        self.connections = Connections()
        self._adapter: pydantic.TypeAdapter[FaultsT] = pydantic.TypeAdapter(
            type(initial),
        )
        self._on_change: Callable[[FaultsT], None] | None = on_change

    def routes(self) -> tuple[web.RouteDef, ...]:
        """Return the routes that read and set the switches."""
        return (
            web.get('/faults', self._get),
            web.put('/faults', self._put),
        )

    def consume(self, name: str) -> bool:
        """Decrement a counted fault; return whether any was left."""
        left = getattr(self.faults, name)
        if not left:
            return False
        self.faults = dataclasses.replace(self.faults, **{name: left - 1})
        return True

    async def admit(self, request: web.Request) -> None:
        """Track the call's connection; hang if it or the process is silent."""
        await self.connections.track(request)
        if self.faults.silent:
            await hang()

    async def _get(self, request: web.Request) -> web.Response:
        return web.json_response(dataclasses.asdict(self.faults))

    async def _put(self, request: web.Request) -> web.Response:
        faults = parse_body(self._adapter, await request.read())
        self.faults = faults
        if faults.silence_connections:
            self.connections.silence_open(keep=request.transport)
        if self._on_change:
            self._on_change(faults)
        return web.Response(status=HTTPStatus.NO_CONTENT)


ModelT = TypeVar('ModelT')


def parse_body(adapter: pydantic.TypeAdapter[ModelT], raw: bytes) -> ModelT:
    """Validate a JSON body.

    Raises:
        web.HTTPBadRequest: If it is malformed; the text names the invalid fields.
    """
    try:
        return adapter.validate_json(raw)
    except pydantic.ValidationError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def parse_query_int(request: web.Request, name: str, default: int) -> int:
    """Return a whole number from the query.

    Raises:
        web.HTTPBadRequest: If the value is not a whole number.
    """
    text = request.query.get(name, str(default))
    if not text.isdecimal():
        raise web.HTTPBadRequest(text=f'{name} must be a whole number')
    return int(text)


def problem(status: int, kind: str, detail: str = '') -> web.Response:
    """Return a JSON error with a type and a human-readable detail."""
    body: dict[str, Any] = {'type': kind, 'detail': detail}
    return web.json_response(body, status=status)
