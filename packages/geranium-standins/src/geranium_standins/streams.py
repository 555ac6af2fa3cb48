"""Event streams sent to callers."""

import enum
import time

from aiohttp import web

from .connections import Connections, hang, reset
from .controls import Controls
from .events import KEEP_ALIVE
from .faults import EngineFaults


class StreamEnd(enum.Enum):
    """How a request's stream ended."""

    COMPLETED = 'completed'
    CUT = 'cut'
    CANCELLED = 'cancelled'
    SUPERSEDED = 'superseded'
    DISCONNECTED = 'disconnected'


class EventStream:
    """Streaming response that writes events without awaiting.

    It frames chunks itself and writes them to the transport directly, so
    that one engine step can write to all streams without a task per stream.
    """

    def __init__(
        self,
        request: web.Request,
        controls: Controls[EngineFaults],
    ) -> None:
        self.written_at = time.monotonic()
        self._request = request
        self._controls = controls
        self._tokens = 0
        self._response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'Cache-Control': 'no-store',
            },
        )

    @property
    def connections(self) -> Connections:
        """Connections of the server."""
        return self._controls.connections

    @property
    def is_stalled(self) -> bool:
        """Whether the stall fault holds back further tokens."""
        stall_after = self._controls.faults.stall_after
        return stall_after is not None and self._tokens >= stall_after

    @property
    def may_complete(self) -> bool:
        """Whether no fault keeps the stream from completing."""
        return not self.is_stalled and not self.must_cut

    @property
    def must_cut(self) -> bool:
        """Whether the cut fault ends the stream at this token."""
        cut_after = self._controls.faults.cut_after
        return cut_after is not None and self._tokens >= cut_after

    async def open(self) -> None:
        """Send the response headers and a first keep-alive comment."""
        self._response.enable_chunked_encoding()
        await self._response.prepare(self._request)
        await self._response.write(KEEP_ALIVE)

    def send_token(self, event: bytes) -> None:
        """Send the event of a token."""
        self._tokens += 1
        self.send(event)

    def send(self, event: bytes) -> None:
        """Send an event as one chunk, unless the connection is silent."""
        transport = self._request.transport
        if transport is None or self.connections.is_silent(transport):
            return
        transport.write(b'%x\r\n%b\r\n' % (len(event), event))
        self.written_at = time.monotonic()

    def keep_alive(self) -> None:
        """Send a keep-alive comment.

        A stalled stream sends none unless ``stall_keep_alive`` is set.
        """
        if not self.is_stalled or self._controls.faults.stall_keep_alive:
            self.send(KEEP_ALIVE)

    async def close(self, end: StreamEnd) -> web.StreamResponse:
        """End the response.

        Completed and cancelled streams end normally; all others reset the
        connection.
        """
        transport = self._request.transport
        if transport is not None and self.connections.is_silent(transport):
            await hang()
        if end is StreamEnd.COMPLETED or end is StreamEnd.CANCELLED:
            await self._response.write_eof()
        elif transport is not None:
            reset(transport)
        return self._response
