"""Forwards a target's response to the caller."""

import asyncio
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus

from .call_errors import AnswerLostError
from .event_framer import MAX_EVENT_BYTES, EventFramer, StreamTail
from .messages import ResponseHead
from .outcomes import CutOff, Delivered, Outcome
from .ports import ResponseSink, TargetResponse
from .silence import SilenceLimit

_EVENTS_TYPE = 'text/event-stream'


class ResponseForwarder:
    """Forwards the responses of all attempts of one request.

    Args:
        sink: Writes the response to the caller.
        resume_after: Id of the last event that the caller already had when
            it sent the request.
    """

    def __init__(
        self,
        sink: ResponseSink,
        *,
        resume_after: str | None,
    ) -> None:
        self._sink = sink
        self._resume_after = resume_after
        self._events = EventFramer()
        self._tail = StreamTail()
        self.started = False

    @property
    def resume_after(self) -> str | None:
        """Id of the last event that the caller has received."""
        return self._events.last_event_id or self._resume_after

    @property
    def is_inside_event(self) -> bool:
        """Whether the last stream has ended inside an event."""
        return self._tail.is_inside_event

    def is_stream(self, head: ResponseHead) -> bool:
        """Return whether a response may bring the events that follow.

        Before the first event, any success may. Once the caller has the head
        of a stream, only another stream does.
        """
        if not self.started:
            return head.succeeded
        return head.status == HTTPStatus.OK and _has_events(head)

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
        limit: SilenceLimit,
        record_first_chunk: Callable[[], None],
        record_first_event: Callable[[], None],
    ) -> Outcome:
        """Forward a stream as it arrives.

        Only complete events are forwarded, and bytes that complete none are no
        progress. A stream that ends inside an event has been cut, and so has
        one without framing and any event. So has a stream that goes on without
        any event: another target has sent it, which may have had nothing to
        send for other reasons than the end of the stream.

        Raises:
            RelayError: If the stream is cut or exceeds a timeout.
        """
        continues = self.started
        self._tail = StreamTail()
        self._events.begin(self.resume_after)
        begun = False
        chunks = _TimedChunks(response, limit)
        async for chunk in chunks:
            if not begun:
                begun = True
                record_first_chunk()
            events = self._complete_events(chunk)
            if events:
                chunks.restart_timeout()
            if events and not self.started:
                record_first_event()
            await self._write(response.head, events)
            self._events.check()
        if self._is_broken_off(response, begun=begun):
            raise AnswerLostError('stream ended inside an event', broken=True)
        if continues:
            self._events.check_continued()
        else:
            await self._start(response.head)
        await self._sink.finish()
        return Delivered(response.head.status)

    def _complete_events(self, chunk: bytes) -> bytes:
        """Return the bytes that may be forwarded after a chunk."""
        self._tail.feed(chunk)
        if self._tail.event_bytes > MAX_EVENT_BYTES:
            raise AnswerLostError('event without end')
        return self._events.feed(chunk)

    def _is_broken_off(self, response: TargetResponse, *, begun: bool) -> bool:
        if begun:
            return self._tail.is_inside_event
        return not response.framed

    async def _write(self, head: ResponseHead, data: bytes) -> None:
        if not data:
            return
        await self._start(head)
        await self._sink.write(data)

    async def _start(self, head: ResponseHead) -> None:
        if self.started:
            return
        self.started = True
        await self._sink.start(head, None)


def _has_events(head: ResponseHead) -> bool:
    """Return whether the body of a response is a stream of events."""
    for name, text in head.headers:
        if name.lower() == 'content-type':
            return text.partition(';')[0].strip().lower() == _EVENTS_TYPE
    return True


class _TimedChunks:
    """The chunks of a response, as long as the stream makes progress.

    Args:
        response: The response.
        limit: Of the first progress and of the pauses after it.
    """

    def __init__(self, response: TargetResponse, limit: SilenceLimit) -> None:
        self._chunks = aiter(response.chunks())
        self._limit = limit
        self._clock = asyncio.get_running_loop().time
        self._deadline: float | None = None
        self._set_deadline(limit.timeouts.first_s)

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        async with self._limit.until(self._deadline):
            return await anext(self._chunks)

    def restart_timeout(self) -> None:
        """Allow a whole pause from now on: the target has sent an event."""
        self._limit.release()
        self._set_deadline(self._limit.timeouts.pause_s)

    def _set_deadline(self, limit_s: float | None) -> None:
        self._deadline = None if limit_s is None else self._clock() + limit_s
