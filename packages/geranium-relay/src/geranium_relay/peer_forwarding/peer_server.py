"""Takes requests that other hosts pass on."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

from geranium_policy.crash_evidence import TargetReach

from ..client_limits import RefusedBytesError
from ..connection_ends import EndWatch
from ..decision_log import DecisionLog
from ..messages import ResponseHead
from ..open_requests import OpenRequests
from ..outcomes import (
    MalformedSize,
    Outcome,
    OverQuota,
    Refused,
    UnknownKey,
    UnknownRoute,
)
from ..ports import ResponseSink
from ..stream_origins import StreamOrigins
from .call_codec import decode_call
from .connections import ConnectionEndedError, MessageConnection
from .encoding import UnknownMessageError, schema
from .frame_codec import encode_frame
from .messages import (
    AliveFrame,
    DataFrame,
    EndFrame,
    ForwardedOutcome,
    ForwardedRequest,
    HeadFrame,
    ReachFrame,
    ReachQuestion,
)
from .peer_bounds import BoundedPeerListener, PeerBounds

ALIVE_INTERVAL_S = 0.5
UNKNOWN_RETRY_S = 0.5  # as for a host without a fresh catalogue
_BACKLOG = 1024  # pending connections, more than in any burst


@dataclasses.dataclass(frozen=True, slots=True)
class PeerHandlers:
    """What answers the calls of other hosts.

    Args:
        serve: Runs a request and writes its response.
        judge: Returns what this host can say of a target, given by its key.
    """

    serve: Callable[[ForwardedRequest, ResponseSink], Awaitable[Outcome]]
    judge: Callable[[str], Awaitable[TargetReach]]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerServerSettings:
    """Limits for the requests of other hosts.

    Args:
        max_requests: Requests that are served at once. Each holds its body
            and two connections.
        read_timeout_s: Timeout for reading a request.
        retry_after_s: Delay for the callers of requests over the limit.
        bounds: Of connections and their bytes, if they are bounded.
        ends: Tells when hosts have given their requests up.
    """

    max_requests: int = 256
    read_timeout_s: float = 2
    retry_after_s: float = 0.25
    bounds: PeerBounds | None = None
    ends: EndWatch = dataclasses.field(default_factory=EndWatch)


class PeerServer:
    """Serves the requests that other hosts pass on.

    Args:
        settings: Limits.
        handlers: Answer the calls.
        origins: Where streams began.
        open_requests: Counts the requests that a stopping host waits for.
        clock: Returns the current time in seconds.
        log: Receives a record of each request.
    """

    def __init__(
        self,
        settings: PeerServerSettings,
        handlers: PeerHandlers,
        origins: StreamOrigins,
        open_requests: OpenRequests,
        clock: Callable[[], float],
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._handlers = handlers
        self._origins = origins
        self._open = open_requests
        self._clock = clock
        self._log = log
        self._bounds = settings.bounds
        self._server: asyncio.Server | BoundedPeerListener | None = None
        self.request_count = 0

    async def start(self, address: str) -> None:
        """Listen on an address."""
        schema()  # parsed before the first request
        host, _, port = address.rpartition(':')
        if self._bounds is not None:
            listener = BoundedPeerListener(self._bounds, self._accept)
            listener.start(host, int(port))
            self._server = listener
            return
        self._server = await asyncio.start_server(
            self._accept, host, int(port), backlog=_BACKLOG
        )

    def stop_listening(self) -> None:
        """Accept no new connections; open ones are served on."""
        if self._server is not None:
            self._server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = MessageConnection(reader, writer)
        with self._open.counted():
            try:
                read_until = await self._serve_connection(connection)
            except Exception as error:
                self._log.record('forwarded_request_lost', error=repr(error))
                connection.abort()
                return
            # A stopping host waits for it, or the rest is lost at its end.
            await connection.finish(max(read_until - self._clock(), 0))

    async def _serve_connection(self, connection: MessageConnection) -> float:
        """Serve a call and return until when the other host may read."""
        read_until = self._clock() + self._settings.read_timeout_s
        try:
            async with asyncio.timeout(self._settings.read_timeout_s):
                message = await self._read(connection)
        except RefusedBytesError:
            await self._refuse(connection, 'too many bytes of other requests')
            return read_until
        try:
            call = decode_call(message, self._clock())
        except UnknownMessageError:
            # A host of a later build has sent it.
            self._log.record('peer_call_unknown')
            await self._refuse(connection, 'unknown call')
            return read_until
        match call:
            case ForwardedRequest() as request:
                await self._serve_request(connection, request)
                read_until = max(read_until, request.arrival.caller_deadline)
            case ReachQuestion(target=target):
                reach = await self._handlers.judge(target)
                connection.write(encode_frame(ReachFrame(reach)))
                await connection.drain()
        return read_until

    async def _read(self, connection: MessageConnection) -> bytes:
        if self._bounds is None:
            return await connection.read()
        return await self._bounds.read(connection)

    async def _refuse(self, connection: MessageConnection, reason: str) -> None:
        """Tell a host that its call was not carried out."""
        refusal = Refused(reason, UNKNOWN_RETRY_S, elsewhere=True)
        connection.write(encode_frame(EndFrame(refusal)))
        await connection.drain()

    async def _serve_request(
        self, connection: MessageConnection, request: ForwardedRequest
    ) -> None:
        sink = _FrameSink(connection, request, self._origins)
        self.request_count += 1
        serving = asyncio.create_task(self._run(request, sink))
        left = asyncio.create_task(connection.wait_for_end())
        alive = asyncio.create_task(_keep_alive(connection))
        try:
            with connection.watched(self._settings.ends, serving.cancel):
                await asyncio.wait(
                    (serving, left), return_when=asyncio.FIRST_COMPLETED
                )
        finally:
            self.request_count -= 1
            await _cancel(serving, left, alive)
        if serving.cancelled():
            raise ConnectionEndedError('the host or its caller left')
        connection.write(encode_frame(EndFrame(_as_told(serving.result()))))
        await connection.drain()

    async def _run(
        self, request: ForwardedRequest, sink: '_FrameSink'
    ) -> Outcome:
        self._log.record(
            'forwarded_request_taken',
            request=request.arrival.identity,
            peer=request.sender,
            service=request.service,
            sends=request.progress.sends,
            runs=request.progress.runs,
            open_requests=self.request_count,
        )
        if self.request_count > self._settings.max_requests:
            return Refused(
                'too many requests of other hosts',
                self._settings.retry_after_s,
                elsewhere=True,
            )
        return await self._handlers.serve(request, sink)


class _FrameSink:
    """Sends a response to the host that passed its request on."""

    def __init__(
        self,
        connection: MessageConnection,
        request: ForwardedRequest,
        origins: StreamOrigins,
    ) -> None:
        self._connection = connection
        self._arrival = request.arrival
        self._origins = origins

    async def start(self, head: ResponseHead, length: int | None) -> None:
        """Send the head and the version at which the stream began."""
        version = self._origins.version_of(self._arrival)
        self._connection.write(encode_frame(HeadFrame(head, version)))

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        self._connection.write(encode_frame(DataFrame(data)))
        await self._connection.drain()

    async def finish(self) -> None:
        """Do nothing: the outcome ends the response."""


async def _keep_alive(connection: MessageConnection) -> None:
    with contextlib.suppress(ConnectionEndedError):
        while True:
            await asyncio.sleep(ALIVE_INTERVAL_S)
            connection.write(encode_frame(AliveFrame()))
            await connection.drain()


async def _cancel(*tasks: asyncio.Task[Any]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


def _as_told(outcome: Outcome) -> ForwardedOutcome:
    """Return an outcome as the first host is told it.

    That host knows the route and the key, so this one may lag behind.
    """
    match outcome:
        case UnknownRoute() | UnknownKey() | OverQuota() | MalformedSize():
            return Refused(
                'unknown to the other host', UNKNOWN_RETRY_S, elsewhere=True
            )
        case _:
            return outcome
