"""Lost connections that the HTTP client hides from its users.

aiohttp retries a PUT, DELETE, GET or HEAD once if the connection breaks
before the response. A conditional write whose response was lost would then
conflict with itself, and a call that must not be repeated would run twice.

A faulty server may send a response once more on a kept connection. The copy
then stands where the response to a later call is expected. It may arrive
while the connection is idle, or after the later call has been sent. Responses
name their call by its id, so no two calls with one id may share a connection.
"""

import asyncio
import dataclasses
import functools
import socket
import weakref
from collections.abc import Callable
from typing import cast

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.tracing import Trace

from .broken_connections import BrokenConnection, ConnectionHistory
from .call_writes import CallTransport, CallWrites
from .control_calls import open_resetting_socket
from .response_checks import CheckedResponseHandler

_RECEIVE_BYTES = 65536  # read at once instead of 256 KiB
MAX_CALLS = 1000  # on one connection, whose ids are kept as long as it


class ConnectionLostError(aiohttp.ClientConnectionError):
    """An established connection broke; the call may have run.

    aiohttp retries a call after subclasses of this base class, but not after
    the base class itself. ``connection`` says which connection it was, and
    ``response_began`` whether a part of the response is known to have arrived.
    """

    connection: BrokenConnection | None = None
    response_began = False


class NotWrittenError(ConnectionLostError):
    """A connection had ended before a byte of the call was written."""


async def send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Raise an error that the client does not retry.

    This is a middleware for ``aiohttp.ClientSession``.

    Raises:
        ConnectionLostError: If an established connection breaks.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (
        aiohttp.ClientOSError,
        aiohttp.ServerDisconnectedError,
        aiohttp.ClientConnectionResetError,
    ) as error:
        raise _lost_connection(error) from error


def _lost_connection(
    error: aiohttp.ClientConnectionError,
) -> ConnectionLostError:
    """Return what happened to a connection, without what the server sent."""
    match error:
        case aiohttp.ServerDisconnectedError(message=RawResponseMessage()):
            lost = ConnectionLostError('closed inside the head of a response')
            lost.response_began = True
            return lost
        case aiohttp.ServerDisconnectedError():
            return ConnectionLostError('closed before a response')
        case _:
            return ConnectionLostError(repr(error))


@dataclasses.dataclass(slots=True)
class _EarlierCalls:
    """The calls that a connection has carried.

    ``writes`` is ``None`` if what the connection has written isn't known.
    """

    history: ConnectionHistory
    writes: CallWrites | None
    identities: set[str] = dataclasses.field(default_factory=set)


class ConnectionUse:
    """The use of a connection for one call.

    Args:
        protocol: The connection.
        history: What the connection has carried, this call included. The
            response to its first call can't be a copy of an earlier one.
        writes: What the call has written, if that is known.
    """

    def __init__(
        self,
        protocol: ResponseHandler,
        history: ConnectionHistory,
        writes: CallWrites | None,
    ) -> None:
        self._protocol = protocol
        self._history = history
        self._writes = writes
        self.is_first = history.calls == 1

    @property
    def unsent_bytes(self) -> int:
        """What the server had not taken when the connection was closed."""
        return 0 if self._writes is None else self._writes.unsent_bytes

    @property
    def has_written(self) -> bool:
        """Whether a byte of the call may have left the process."""
        return self._writes is None or self._writes.has_written

    def broken(self) -> BrokenConnection:
        """Return what is known of the connection, which broke now."""
        return self._history.broken()

    def discard(self) -> None:
        """Use the connection for no further call.

        The client keeps a connection for the next call as soon as a body is
        complete, which may be before the head has been looked at.
        """
        self._protocol.close()

    def retire(self, response: aiohttp.ClientResponse) -> None:
        """Use the connection for no further call after a response."""
        if response.connection is None:
            # The body is complete, so the client has the connection back.
            self._protocol.close()
        else:
            self._protocol.force_close()

    def names_call(self, echoed: str | None, identity: str) -> bool:
        """Return whether a response belongs to the call.

        Args:
            echoed: The id in the response, if any.
            identity: The id of the call.
        """
        return self.is_first if echoed is None else echoed == identity


class CallConnector(aiohttp.TCPConnector):
    """Keeps connections, but none with a response that no call waits for.

    A connection with unread bytes is closed instead of being used again, and
    so is one that has carried a call with the same id before.

    Args:
        identity_header: Name of the header with the id of a call; ``None`` if
            responses don't name their calls.
        keepalive_s: Time for which an idle connection is kept.
        reuses_connections: Whether connections are kept at all.
        receive_bytes: Size of the buffer for what a target has sent and nobody
            has read; ``None`` leaves it to the system.
        resets: Whether a call that is given up never arrives later, see
            :mod:`.control_calls`.

    ``on_withdrawn`` is called with the id of a call that is cancelled before
    its response, and the use of its connection.
    """

    on_withdrawn: Callable[[str | None, ConnectionUse], None] | None = None

    def __init__(
        self,
        identity_header: str | None,
        keepalive_s: float,
        *,
        reuses_connections: bool = True,
        receive_bytes: int | None = None,
        resets: bool = False,
    ) -> None:
        self._receive_bytes = receive_bytes
        factory = open_resetting_socket if resets else None
        if reuses_connections:
            super().__init__(
                limit=0, keepalive_timeout=keepalive_s, socket_factory=factory
            )
        else:
            super().__init__(limit=0, force_close=True, socket_factory=factory)
        self._factory = cast(
            functools.partial[ResponseHandler],
            functools.partial(CheckedResponseHandler, self._loop),
        )
        self._identity_header = identity_header
        self._earlier_calls: weakref.WeakKeyDictionary[
            ResponseHandler, _EarlierCalls
        ] = weakref.WeakKeyDictionary()
        self._uses_by_request: weakref.WeakKeyDictionary[
            aiohttp.ClientRequest, ConnectionUse
        ] = weakref.WeakKeyDictionary()
        self._uses_by_response: weakref.WeakKeyDictionary[
            aiohttp.ClientResponse, ConnectionUse
        ] = weakref.WeakKeyDictionary()

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Return a connection that may carry the request."""
        identity = self._identity_of(req)
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if protocol is None:
                return connection
            earlier = self._earlier_calls.get(protocol)
            if earlier is None:
                self._bound_buffer(protocol)
                earlier = _observe(protocol)
                self._earlier_calls[protocol] = earlier
            is_usable = (
                not protocol.should_close and identity not in earlier.identities
            )
            if is_usable or not earlier.history.calls:
                self._record(req, protocol, earlier, identity)
                return connection
            connection.close()

    async def send_once(
        self,
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        """Send a request and keep the use of its connection.

        This is the middleware of the session.

        Raises:
            NotWrittenError: If the connection ended before a byte was written.
            ConnectionLostError: If an established connection breaks.
        """
        try:
            response = await send_once(request, handler)
        except asyncio.CancelledError:
            self._report_withdrawn(request)
            raise
        except ConnectionLostError as error:
            use = self._uses_by_request.pop(request, None)
            if use is None:
                raise
            error.connection = use.broken()
            if use.has_written:
                raise
            unwritten = NotWrittenError(str(error))
            unwritten.connection = error.connection
            raise unwritten from error
        self._uses_by_response[response] = self._uses_by_request.pop(request)
        return response

    def use_for(self, response: aiohttp.ClientResponse) -> ConnectionUse:
        """Return the use of the connection that brought a response."""
        return self._uses_by_response[response]

    def _report_withdrawn(self, request: aiohttp.ClientRequest) -> None:
        use = self._uses_by_request.pop(request, None)
        if use is not None and self.on_withdrawn is not None:
            self.on_withdrawn(self._identity_of(request), use)

    def _bound_buffer(self, protocol: ResponseHandler) -> None:
        transport = protocol.transport
        if transport is None or self._receive_bytes is None:
            return
        connected = transport.get_extra_info('socket')
        connected.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes
        )
        if hasattr(transport, 'max_size'):
            transport.max_size = _RECEIVE_BYTES

    def _identity_of(self, req: aiohttp.ClientRequest) -> str | None:
        if self._identity_header is None:
            return None
        return req.headers.get(self._identity_header)

    def _record(
        self,
        req: aiohttp.ClientRequest,
        protocol: ResponseHandler,
        earlier: _EarlierCalls,
        identity: str | None,
    ) -> None:
        earlier.history.count_call()
        if earlier.writes is not None:
            earlier.writes.has_written = False
            earlier.writes.unsent_bytes = 0
        self._uses_by_request[req] = ConnectionUse(
            protocol, earlier.history, earlier.writes
        )
        if identity is not None:
            earlier.identities.add(identity)
        if len(earlier.identities) >= MAX_CALLS:
            protocol.force_close()


def _observe(protocol: ResponseHandler) -> _EarlierCalls:
    """Return the record of a new connection, whose writes are noted if plain.

    A connection that has ended already has no transport and writes nothing.
    """
    transport = protocol.transport
    history = ConnectionHistory(transport)
    writes = CallWrites()
    if transport is None:
        return _EarlierCalls(history, writes)
    if transport.get_extra_info('sslcontext') is not None:
        return _EarlierCalls(history, None)
    observed = CallTransport(transport, writes)
    protocol.transport = cast(asyncio.Transport, observed)
    return _EarlierCalls(history, writes)
