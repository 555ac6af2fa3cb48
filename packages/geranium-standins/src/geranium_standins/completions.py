"""Completion requests."""

import dataclasses
import enum
import hashlib
from collections.abc import Iterator

import pydantic
import xxhash

from .settings import TOKENS_PER_PIECE

BYTES_PER_TOKEN = 4
PIECE_BYTES = BYTES_PER_TOKEN * TOKENS_PER_PIECE
PREFIX_HEX_DIGITS = 16
BLOCK_BYTES = 512
SEED_BYTES = 8
DEFAULT_MAX_TOKENS = 64


class CompletionKind(enum.Enum):
    """OpenAI response format of a request."""

    CHAT = 'chat.completion.chunk'
    TEXT = 'text_completion'


class _Part(pydantic.BaseModel):
    text: str = ''


class _Message(pydantic.BaseModel):
    role: str
    parts: str | list[_Part] | None = pydantic.Field(None, alias='content')

    def text(self) -> str:
        if isinstance(self.parts, list):
            return ''.join(part.text for part in self.parts)
        return self.parts or ''


class CompletionDocument(pydantic.BaseModel):
    """Fields of a completion request's body that the engine uses.

    With ``min_tokens`` below the maximum, the response length is chosen
    between the two deterministically from the prompt. Otherwise the response
    has the maximum length.
    """

    model: str = ''
    messages: list[_Message] | None = None
    prompt: str | list[str] | None = None
    max_tokens: pydantic.NonNegativeInt | None = None
    max_completion_tokens: pydantic.NonNegativeInt | None = None
    min_tokens: pydantic.NonNegativeInt | None = None

    def prompt_text(self) -> str:
        """Return the text that is tokenized.

        Chat messages are formatted as ``role: content`` and joined by line
        feeds.
        """
        if self.messages is not None:
            return '\n'.join(
                f'{message.role}: {message.text()}' for message in self.messages
            )
        if isinstance(self.prompt, list):
            return ''.join(self.prompt)
        return self.prompt or ''

    def maximum(self) -> int:
        """Return the maximum number of tokens of the response."""
        for limit in (self.max_completion_tokens, self.max_tokens):
            if limit is not None:
                return limit
        return DEFAULT_MAX_TOKENS


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """A completion to run.

    ``length`` is the number of tokens of the whole response, and ``offset``
    the index of the first token to send. ``seed`` determines the text.
    ``prefixes`` holds one hash for each prefix of whole pieces.
    """

    request_id: str
    kind: CompletionKind
    model: str
    prompt: str
    prompt_tokens: int
    prefixes: tuple[str, ...]
    length: int
    seed: int
    offset: int
    priority: int

    @property
    def pieces(self) -> int:
        """Number of KV memory pieces for the prompt and the response."""
        return pieces_for(self.prompt_tokens + self.length)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHeaders:
    """Parsed request headers of a completion."""

    request_id: str
    offset: int
    priority: int


def build_completion(
    document: CompletionDocument,
    kind: CompletionKind,
    headers: RequestHeaders,
    version: str,
) -> Completion:
    """Return the completion for a request body.

    Text and length depend only on the version, the prompt and the limits.
    """
    prompt = document.prompt_text()
    encoded = prompt.encode()
    digest = hashlib.sha256(
        b'%b %d %b' % (version.encode(), document.maximum(), encoded),
    ).digest()
    seed = int.from_bytes(digest[:SEED_BYTES], 'big')
    return Completion(
        request_id=headers.request_id,
        kind=kind,
        model=document.model,
        prompt=prompt,
        prompt_tokens=max(1, -(-len(encoded) // BYTES_PER_TOKEN)),
        prefixes=tuple(prefix_hashes(encoded)),
        length=_choose_length(document, seed),
        seed=seed,
        offset=headers.offset,
        priority=headers.priority,
    )


def prefix_hashes(prompt: bytes) -> Iterator[str]:
    """Yield an identifier for each prefix of whole pieces of the prompt.

    A prefix of whole blocks is identified by its published hash in decimal:
    the 64-bit xxh3 hash of its last block, seeded with the hash of the
    preceding block. The identifier of any other prefix begins with a letter
    and is never published.
    """
    running = hashlib.sha256()
    chained = 0
    for end in range(PIECE_BYTES, len(prompt) + 1, PIECE_BYTES):
        running.update(prompt[end - PIECE_BYTES : end])
        if end % BLOCK_BYTES:
            digits = running.hexdigest()[:PREFIX_HEX_DIGITS]
            yield f'p{digits}'
        else:
            block = prompt[end - BLOCK_BYTES : end]
            chained = xxhash.xxh3_64_intdigest(block, seed=chained)
            yield str(chained)


def pieces_for(tokens: int) -> int:
    """Return the number of KV memory pieces for the tokens."""
    return -(-tokens // TOKENS_PER_PIECE)


def _choose_length(document: CompletionDocument, seed: int) -> int:
    maximum = document.maximum()
    minimum = document.min_tokens
    if minimum is None or minimum >= maximum:
        return maximum
    return minimum + seed % (maximum - minimum + 1)
