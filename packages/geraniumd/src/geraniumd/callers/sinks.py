"""Sinks for the events of a completion: streaming or buffered."""

import asyncio
import json
from typing import Any, Protocol

import pydantic
from aiohttp import web
from geranium_model import Outcome

from ..process import CallerGoneError
from .calls import CompletionCall
from .events import Batch
from .problems import problem_event

_EVENT_END = b'\n\n'
_DATA = b'data: '


class Sink(Protocol):
    """Receives the event batches of a completion in order."""

    async def write(self, batch: Batch) -> None:
        """Write a batch.

        Raises:
            CallerGoneError: If the caller stopped reading, or the response
                is over the size limit.
        """
        ...


class StreamSink:
    """Streams events to the caller as they arrive."""

    def __init__(
        self,
        request: web.Request,
        call: CompletionCall,
        stall_s: float,
    ) -> None:
        self._request = request
        self._call = call
        self._stall_s = stall_s
        self._response: web.StreamResponse | None = None

    @property
    def response(self) -> web.StreamResponse | None:
        """Return the response, ``None`` until the first write."""
        return self._response

    async def write(self, batch: Batch) -> None:
        """Send a batch to the caller."""
        await self._send(batch.data)

    async def finish(self) -> web.StreamResponse:
        """End the complete response and return it."""
        response = await self._begin()
        await response.write_eof()
        return response

    async def fail(self, outcome: Outcome) -> None:
        """End a started response with an error event for the outcome."""
        event = problem_event(outcome, self._call.incoming.request_id)
        try:
            await self._send(event)
        except CallerGoneError:
            return
        if self._response is not None:
            await self._response.write_eof()

    async def _send(self, data: bytes) -> None:
        try:
            if self._is_behind():
                async with asyncio.timeout(self._stall_s):
                    await self._write(data)
            else:
                await self._write(data)
        except TimeoutError:
            raise CallerGoneError('the caller stopped reading') from None
        except (ConnectionError, RuntimeError) as error:
            raise CallerGoneError(repr(error)) from error

    def _is_behind(self) -> bool:
        """Return whether a write may block on the caller.

        Only then is a timer set: one per write would cost more than the write.
        """
        transport = self._request.transport
        return transport is None or transport.get_write_buffer_size() > 0

    async def _write(self, data: bytes) -> None:
        response = await self._begin()
        await response.write(data)

    async def _begin(self) -> web.StreamResponse:
        if self._response is None:
            headers = {
                'Content-Type': 'text/event-stream',
                'Cache-Control': 'no-cache',
                'Request-Id': self._call.incoming.request_id,
            }
            response = web.StreamResponse(headers=headers)
            await response.prepare(self._request)
            self._response = response
        return self._response


class BufferedSink:
    """Buffers all events and returns one response."""

    def __init__(self, call: CompletionCall, limit_bytes: int) -> None:
        self._call = call
        self._limit_bytes = limit_bytes
        self._chunks: list[bytes] = []
        self._size_bytes = 0

    async def write(self, batch: Batch) -> None:
        """Buffer a batch."""
        self._size_bytes += len(batch.data)
        if self._size_bytes > self._limit_bytes:
            raise CallerGoneError('the answer is over the size limit')
        self._chunks.append(batch.data)

    def finish(self) -> web.Response:
        """Return the response: a chat or a text completion, by path."""
        events = _parse_chunks(b''.join(self._chunks))
        is_chat = self._call.path.endswith('/chat/completions')
        body = _join_chat(events) if is_chat else _join_text(events)
        return web.Response(
            text=body.model_dump_json(exclude_none=True),
            content_type='application/json',
            headers={'Request-Id': self._call.incoming.request_id},
        )


class _Delta(pydantic.BaseModel):
    role: str | None = None
    content: str | None = None


class _ChunkChoice(pydantic.BaseModel):
    index: int = 0
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class _Chunk(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore')

    id: str = ''
    created: int = 0
    model: str = ''
    choices: tuple[_ChunkChoice, ...] = ()
    usage: dict[str, Any] | None = None


class _Message(pydantic.BaseModel):
    role: str = 'assistant'
    content: str


class _Choice(pydantic.BaseModel):
    index: int = 0
    message: _Message | None = None
    text: str | None = None
    finish_reason: str | None


class _ResponseBody(pydantic.BaseModel):
    id: str
    object: str
    created: int
    model: str
    choices: tuple[_Choice, ...]
    usage: dict[str, Any] | None


def _parse_chunks(data: bytes) -> list[_Chunk]:
    chunks = []
    for event in data.split(_EVENT_END):
        _, _, payload = event.partition(_DATA)
        if payload.startswith(b'{'):
            chunks.append(_Chunk.model_validate(json.loads(payload)))
    return chunks


def _join_chat(chunks: list[_Chunk]) -> _ResponseBody:
    parts = [
        choice.delta.content or ''
        for chunk in chunks
        for choice in chunk.choices
        if choice.delta is not None
    ]
    message = _Message(content=''.join(parts))
    choice = _Choice(message=message, finish_reason=_finish_reason(chunks))
    return _build_body('chat.completion', chunks, choice)


def _join_text(chunks: list[_Chunk]) -> _ResponseBody:
    parts = [choice.text or '' for chunk in chunks for choice in chunk.choices]
    choice = _Choice(text=''.join(parts), finish_reason=_finish_reason(chunks))
    return _build_body('text_completion', chunks, choice)


def _finish_reason(chunks: list[_Chunk]) -> str | None:
    reasons = [
        choice.finish_reason
        for chunk in chunks
        for choice in chunk.choices
        if choice.finish_reason
    ]
    return reasons[-1] if reasons else None


def _build_body(
    kind: str, chunks: list[_Chunk], choice: _Choice
) -> _ResponseBody:
    first, last = chunks[0], chunks[-1]
    return _ResponseBody(
        id=first.id,
        object=kind,
        created=first.created,
        model=first.model,
        choices=(choice,),
        usage=last.usage,
    )
