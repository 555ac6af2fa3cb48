"""Passes a target's answer on to the caller."""

import asyncio
from collections.abc import AsyncIterator, Callable

from .attempts import Patience
from .call_errors import TargetSilentError
from .event_cutter import EventCutter
from .messages import ResponseHead
from .outcomes import CutOff, Delivered, Outcome
from .ports import ResponseSink, TargetResponse


class Passing:
    """The caller's side of one request, over all of its attempts.

    Args:
        sink: The caller.
        resumable: Whether another target may go on with a stream.
        resume_after: The last event that the caller had from the start.
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
        self._cutter = EventCutter()
        self.started = False

    @property
    def resume_after(self) -> str | None:
        """Id of the last event that the caller has."""
        return self._cutter.last_identity or self._resume_after

    def knows_position(self) -> bool:
        """Say whether another target could go on from here."""
        return not self.started or self._cutter.last_identity is not None

    def forget_partial_event(self) -> None:
        """Drop what has come of an event that was cut off."""
        self._cutter.drop_rest()

    async def pass_whole(self, head: ResponseHead, body: bytes) -> Outcome:
        """Pass an answer on that has been read whole."""
        if self.started:
            return CutOff('target failed')
        self.started = True
        await self._sink.start(head, len(body))
        await self._sink.write(body)
        await self._sink.finish()
        return Delivered(head.status)

    async def pass_stream(
        self,
        answer: TargetResponse,
        patience: Patience,
        record_first_chunk: Callable[[], None],
    ) -> Outcome:
        """Pass a stream on as it comes.

        Raises:
            RelayError: If the stream breaks off or is silent for too long.
        """
        begun = False
        async for chunk in _watched(answer, patience):
            if not begun:
                begun = True
                record_first_chunk()
            whole = self._cutter.feed(chunk) if self._resumable else chunk
            await self._write(answer.head, whole)
        if not self.started:
            await self._start(answer.head)
        await self._write(answer.head, self._cutter.take_rest())
        await self._sink.finish()
        return Delivered(answer.head.status)

    async def _write(self, head: ResponseHead, data: bytes) -> None:
        if not data:
            return
        if not self.started:
            await self._start(head)
        await self._sink.write(data)

    async def _start(self, head: ResponseHead) -> None:
        self.started = True
        await self._sink.start(head, None)


async def _watched(
    answer: TargetResponse,
    patience: Patience,
) -> AsyncIterator[bytes]:
    """Give the chunks of an answer whose silence is bounded."""
    chunks = aiter(answer.chunks())
    limit_s = patience.first_s
    while True:
        try:
            async with asyncio.timeout(limit_s):
                chunk = await anext(chunks)
        except StopAsyncIteration:
            return
        except TimeoutError:
            raise TargetSilentError('stream is silent') from None
        limit_s = patience.pause_s
        yield chunk
