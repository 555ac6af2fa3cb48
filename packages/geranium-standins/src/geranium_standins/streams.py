"""Streams of events to a caller."""

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
    """One response that carries events, written without waiting.

    Chunks are framed here and go straight to the transport, so that the
    step of an engine writes to all its streams with no task for each.
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
        """The connections of the server."""
        return self._controls.connections

    @property
    def is_stalled(self) -> bool:
        """Whether the stall switch holds the stream back."""
        stall_after = self._controls.faults.stall_after
        return stall_after is not None and self._tokens >= stall_after

    @property
    def may_complete(self) -> bool:
        """Whether no switch keeps the end of the stream back."""
        return not self.is_stalled and not self.must_cut

    @property
    def must_cut(self) -> bool:
        """Whether the cut switch ends the stream here."""
        cut_after = self._controls.faults.cut_after
        return cut_after is not None and self._tokens >= cut_after

    async def open(self) -> None:
        """Send the head of the response and a first comment."""
        self._response.enable_chunked_encoding()
        await self._response.prepare(self._request)
        await self._response.write(KEEP_ALIVE)

    def send_token(self, event: bytes) -> None:
        """Send the event of a token."""
        self._tokens += 1
        self.send(event)

    def send(self, event: bytes) -> None:
        """Send bytes as one chunk, unless the connection is silent."""
        transport = self._request.transport
        if transport is None or self.connections.is_silent(transport):
            return
        transport.write(b'%x\r\n%b\r\n' % (len(event), event))
        self.written_at = time.monotonic()

    def keep_alive(self) -> None:
        """Send a comment, unless the stream is stalled."""
        if not self.is_stalled or self._controls.faults.stall_keep_alive:
            self.send(KEEP_ALIVE)

    async def close(self, end: StreamEnd) -> web.StreamResponse:
        """End the response: properly, or by a reset if it was cut."""
        transport = self._request.transport
        if transport is not None and self.connections.is_silent(transport):
            await hang()
        if end is StreamEnd.COMPLETED or end is StreamEnd.CANCELLED:
            await self._response.write_eof()
        elif transport is not None:
            reset(transport)
        return self._response
