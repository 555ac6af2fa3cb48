"""Server-sent events of a completion."""

import json
from typing import Any

from .completions import Completion, CompletionKind

KEEP_ALIVE = b': keep-alive\n\n'
_TEXT_PLACEHOLDER = '\0'
_MULTIPLIER = 2_654_435_761
_SHIFT = 7
_WORDS = (
    ' warm wishes and sincere thanks to family friends for the joyful day'
    ' we invite you with love dear guests please reply before noon music'
    ' dance song room booked hold slot rehearsal band steel drum evening'
    ' garden chapel hall door table flowers silver paper ink card proof'
).split()


def token_text(seed: int, offset: int) -> str:
    """Return the text of the token at an offset."""
    index = ((seed + offset) * _MULTIPLIER) >> _SHIFT
    word = _WORDS[index % len(_WORDS)]
    return f'{word} '


class EventBuilder:
    """Builds the events of one completion as bytes."""

    def __init__(self, completion: Completion) -> None:
        self._completion = completion
        self._seed = completion.seed
        self._id_prefix = b'id: %b:' % completion.request_id.encode()
        chunk = json.dumps(self._chunk(_TEXT_PLACEHOLDER))
        before, after = chunk.split(json.dumps(_TEXT_PLACEHOLDER))
        self._chunk_start = b'\ndata: %b' % before.encode()
        self._chunk_end = b'%b\n\n' % after.encode()

    def token(self, offset: int) -> bytes:
        """Return the event of the token at an offset."""
        text = token_text(self._seed, offset)
        return b'%b%d%b"%b"%b' % (
            self._id_prefix,
            offset,
            self._chunk_start,
            text.encode(),
            self._chunk_end,
        )

    def finish(self, cached_tokens: int) -> bytes:
        """Return the event with the finish reason and the usage."""
        completion = self._completion
        chunk = self._chunk(None)
        chunk['choices'][0]['finish_reason'] = 'stop'
        chunk['usage'] = {
            'prompt_tokens': completion.prompt_tokens,
            'completion_tokens': completion.length,
            'total_tokens': completion.prompt_tokens + completion.length,
            'cached_tokens': cached_tokens,
        }
        return b'%b%d\ndata: %b\n\n' % (
            self._id_prefix,
            completion.length,
            json.dumps(chunk).encode(),
        )

    def done(self) -> bytes:
        """Return the final ``[DONE]`` event."""
        return b'%b%d\ndata: [DONE]\n\n' % (
            self._id_prefix,
            self._completion.length + 1,
        )

    def _chunk(self, text: str | None) -> dict[str, Any]:
        completion = self._completion
        choice: dict[str, Any] = {'index': 0}
        match completion.kind:
            case CompletionKind.CHAT:
                choice['delta'] = {} if text is None else {'content': text}
            case CompletionKind.TEXT:
                choice['text'] = text or ''
        choice['finish_reason'] = None
        return {
            'id': completion.request_id,
            'object': completion.kind.value,
            'model': completion.model,
            'choices': [choice],
        }
