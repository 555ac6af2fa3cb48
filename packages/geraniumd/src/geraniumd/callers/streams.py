"""Client for streamed completions of engines."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pydantic
from geranium_model import Engine, Usage

from ..backends import TargetTransport, raise_for_status
from ..process import (
    TargetError,
    TargetLostError,
    TargetSettings,
    TargetSilentError,
)
from .calls import CompletionCall
from .events import Batch, EventBuffer

_CANCEL_TIMEOUT_S = 2


class _FinalUsage(pydantic.BaseModel):
    prompt_tokens: int
    completion_tokens: int


class _FinalEvent(pydantic.BaseModel):
    usage: _FinalUsage


class EngineStream:
    """An engine's response, read as batches of complete events."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        buffer: EventBuffer,
    ) -> None:
        self._response = response
        self._buffer = buffer
        buffer.begin()

    async def batches(self) -> AsyncIterator[Batch]:
        """Yield batches until the ``[DONE]`` event.

        Raises:
            TargetLostError: If the stream ends, skips an offset or sends an
                event without end before it.
            TargetSilentError: If no data arrives within the silence timeout.
        """
        while True:
            batch = self._buffer.feed(await self._read())
            if batch.data:
                yield batch
            if batch.done:
                return
            defect = self._buffer.defect
            if defect is not None:
                raise TargetLostError(defect)

    async def _read(self) -> bytes:
        try:
            chunk = await self._response.content.readany()
        except TimeoutError:
            raise TargetSilentError('the stream fell silent') from None
        except (aiohttp.ClientError, OSError) as error:
            raise TargetLostError(f'the stream broke: {error!r}') from error
        if not chunk:
            raise TargetLostError('the stream ended early')
        return chunk


class StreamClient:
    """Opens and cancels completions on engines."""

    def __init__(
        self,
        settings: TargetSettings,
        transport: TargetTransport,
    ) -> None:
        self._settings = settings
        self._transport = transport

    @asynccontextmanager
    async def open(
        self,
        engine: Engine,
        call: CompletionCall,
        buffer: EventBuffer,
    ) -> AsyncIterator[EngineStream]:
        """Open a completion's stream at the buffer's next offset.

        Raises:
            TargetRefusedError: If the engine did not run the call.
            TargetFailedError: If it responded with an error.
            TargetLostError: If its response was lost.
        """
        headers = {
            'Content-Type': 'application/json',
            'Request-Id': call.incoming.execution_id,
            'Request-Priority': str(call.incoming.priority),
        }
        if buffer.next_offset:
            headers['Resume-Offset'] = str(buffer.next_offset)
        response = await self._transport.send(
            'POST',
            f'http://{engine.address}{call.path}',
            body=call.body,
            headers=headers,
            silence_timeout_s=self._settings.silence_timeout_s,
        )
        try:
            await raise_for_status(response)
            yield EngineStream(response, buffer)
        finally:
            response.close()

    async def cancel(self, engine: Engine, execution_id: str) -> None:
        """Ask the engine to cancel a request, ignoring failures."""
        url = f'http://{engine.address}/requests/{execution_id}/cancel'
        try:
            response = await self._transport.send(
                'POST',
                url,
                total_timeout_s=_CANCEL_TIMEOUT_S,
            )
        except TargetError:
            return
        response.release()


def final_usage(event: bytes) -> Usage:
    """Return the usage in a stream's last event before ``[DONE]``.

    An event without usage counts as one request without tokens.
    """
    _, _, payload = event.partition(b'data: ')
    try:
        usage = _FinalEvent.model_validate_json(payload).usage
    except pydantic.ValidationError:
        return Usage(requests=1)
    return Usage(usage.prompt_tokens, usage.completion_tokens, requests=1)
