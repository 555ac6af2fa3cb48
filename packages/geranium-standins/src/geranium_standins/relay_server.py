"""TCP relay with fault injection."""

import asyncio
import dataclasses
import logging
from http import HTTPStatus

import pydantic
from aiohttp import web

from .connections import reset
from .controls import parse_body
from .faults import RelayFaults, RelayMode
from .relayed_connections import Endpoint, RelayedConnection, RelayFaultState

logger = logging.getLogger(__name__)
_FAULTS = pydantic.TypeAdapter(RelayFaults)


class Relay:
    """Forwards each accepted connection to the target.

    Args:
        host: The target's host.
        port: The target's port.
        source_ip: Local address of the connections to the target; ``None``
            for the system's choice.
        keeps_source: Whether these connections come from the address of the
            caller instead.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        source_ip: str | None = None,
        keeps_source: bool = False,
    ) -> None:
        self._host = host
        self._port = port
        self._source_ip = source_ip
        self._keeps_source = keeps_source
        self._fault_state = RelayFaultState()
        self._connections: set[RelayedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> str:
        """Listen and return the address as ``host:port``."""
        self._server = await asyncio.start_server(self._accept, host, port)
        bound_port = self._server.sockets[0].getsockname()[1]
        return f'{host}:{bound_port}'

    def stop_listening(self) -> None:
        """Refuse new connections until the next start; open ones live on."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.stop_listening()
        self._reset_connections()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_faults(self, faults: RelayFaults) -> None:
        """Replace the fault switches."""
        self._fault_state.update(faults)
        match faults.mode:
            case RelayMode.DROP:
                self._reset_connections()
            case RelayMode.SILENT:
                self._silence_connections()
            case RelayMode.PASS | RelayMode.HOLD | RelayMode.HOLD_ANSWERS:
                ...

    def create_app(self) -> web.Application:
        """Return the web application that controls the relay."""
        app = web.Application()
        app.add_routes(
            (
                web.get('/faults', self._get_faults),
                web.put('/faults', self._put_faults),
                web.get('/stats', self._get_stats),
            ),
        )
        return app

    def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.create_task(self._serve(Endpoint(reader, writer)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, caller: Endpoint) -> None:
        try:
            await self._connect(caller)
        except* OSError as errors:
            logger.debug('connection failed', exc_info=errors)
        finally:
            reset(caller.writer.transport)

    async def _connect(self, caller: Endpoint) -> None:
        if self._fault_state.faults.mode is RelayMode.DROP:
            return
        streams = await asyncio.open_connection(
            self._host, self._port, local_addr=self._local_address(caller)
        )
        connection = RelayedConnection(
            caller, Endpoint(*streams), self._fault_state
        )
        self._connections.add(connection)
        try:
            await connection.forward()
        finally:
            self._connections.discard(connection)
            connection.reset()

    def _local_address(self, caller: Endpoint) -> tuple[str, int] | None:
        """Return the address of a connection to the target, with any port."""
        source_ip = self._source_ip
        if self._keeps_source:
            source_ip = caller.writer.get_extra_info('peername')[0]
        return None if source_ip is None else (source_ip, 0)

    def _reset_connections(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _get_faults(self, request: web.Request) -> web.Response:
        faults = self._fault_state.faults
        body = {**dataclasses.asdict(faults), 'mode': faults.mode.value}
        return web.json_response(body)

    async def _put_faults(self, request: web.Request) -> web.Response:
        self.set_faults(parse_body(_FAULTS, await request.read()))
        return web.Response(status=HTTPStatus.NO_CONTENT)

    def _silence_connections(self) -> None:
        for connection in self._connections:
            connection.is_silent = True

    async def _get_stats(self, request: web.Request) -> web.Response:
        silent = sum(connection.is_silent for connection in self._connections)
        return web.json_response(
            {'connections': len(self._connections), 'silent': silent},
        )
