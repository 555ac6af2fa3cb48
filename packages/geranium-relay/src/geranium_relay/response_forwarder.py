"""Forwards a target's response to the caller."""

import asyncio
from collections.abc import AsyncIterator, Callable

from .attempts import ResponseTimeouts
from .call_errors import TargetSilentError
from .event_framer import EventFramer
from .messages import ResponseHead
from .outcomes import CutOff, Delivered, Outcome
from .ports import ResponseSink, TargetResponse


class ResponseForwarder:
    """Forwards the responses of all attempts of one request.

    Args:
        sink: Writes the response to the caller.
        resumable: Whether another target may continue a stream.
        resume_after: Id of the last event that the caller already had when
            it sent the request.
    """

    def __init__(
        self,
        sink: ResponseSink,
        *,
        resumable: bool,
        resume_after: str | None,
    ) -> None:
        self._sink = sink
        self._resumable = resumable
        self._resume_after = resume_after
        self._events = EventFramer()
        self.started = False

    @property
    def resume_after(self) -> str | None:
        """Id of the last event that the caller has received."""
        return self._events.last_event_id or self._resume_after

    def can_resume(self) -> bool:
        """Return whether another target can continue the stream."""
        return not self.started or self._events.last_event_id is not None

    def drop_partial_event(self) -> None:
        """Discard the received part of an incomplete event."""
        self._events.drop_rest()

    async def forward_whole(self, head: ResponseHead, body: bytes) -> Outcome:
        """Forward a response whose body has been read completely."""
        if self.started:
            return CutOff('target failed')
        self.started = True
        await self._sink.start(head, len(body))
        await self._sink.write(body)
        await self._sink.finish()
        return Delivered(head.status)

    async def forward_stream(
        self,
        response: TargetResponse,
        timeouts: ResponseTimeouts,
        record_first_chunk: Callable[[], None],
    ) -> Outcome:
        """Forward a stream as it arrives.

        Raises:
            RelayError: If the stream is cut or exceeds a timeout.
        """
        begun = False
        async for chunk in _chunks_with_timeouts(response, timeouts):
            if not begun:
                begun = True
                record_first_chunk()
            events = self._events.feed(chunk) if self._resumable else chunk
            await self._write(response.head, events)
        if not self.started:
            await self._start(response.head)
        await self._write(response.head, self._events.take_rest())
        await self._sink.finish()
        return Delivered(response.head.status)

    async def _write(self, head: ResponseHead, data: bytes) -> None:
        if not data:
            return
        if not self.started:
            await self._start(head)
        await self._sink.write(data)

    async def _start(self, head: ResponseHead) -> None:
        self.started = True
        await self._sink.start(head, None)


async def _chunks_with_timeouts(
    response: TargetResponse,
    timeouts: ResponseTimeouts,
) -> AsyncIterator[bytes]:
    """Yield the chunks of a response, with a timeout for each."""
    chunks = aiter(response.chunks())
    limit_s = timeouts.first_s
    while True:
        try:
            async with asyncio.timeout(limit_s):
                chunk = await anext(chunks)
        except StopAsyncIteration:
            return
        except TimeoutError:
            raise TargetSilentError('stream is silent') from None
        limit_s = timeouts.pause_s
        yield chunk
