"""Completion calls: parsing, token limits and the engine's body."""

import dataclasses
import json
from http import HTTPStatus
from typing import Annotated, TypeAlias

import pydantic
from geranium_model import ModelService, NotRun, format_validation_errors
from geranium_policy import RequestProfile, prefix_hashes

from .incoming_requests import IncomingRequest

CHARACTERS_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 256


class _Part(pydantic.BaseModel):
    text: str = ''


class _Message(pydantic.BaseModel):
    role: str = 'user'
    content: str | list[_Part] | None = None

    def text(self) -> str:
        """Return the concatenated text of all content parts."""
        if isinstance(self.content, list):
            return ''.join(part.text for part in self.content)
        return self.content or ''


class CompletionBody(pydantic.BaseModel):
    """The fields of an OpenAI request body that the daemon reads.

    Other fields are forwarded unchanged.
    """

    model_config = pydantic.ConfigDict(extra='allow')

    model: str
    stream: bool = False
    messages: tuple[_Message, ...] | None = None
    prompt: str | list[str] | None = None
    max_tokens: Annotated[int, pydantic.Field(ge=1)] | None = None
    max_completion_tokens: Annotated[int, pydantic.Field(ge=1)] | None = None

    def prompt_text(self) -> str:
        """Return the prompt as one text, for prefix hashes and token counts."""
        if self.messages is not None:
            return '\n'.join(
                f'{message.role}: {message.text()}' for message in self.messages
            )
        if isinstance(self.prompt, list):
            return '\n'.join(self.prompt)
        return self.prompt or ''

    def token_limit(self) -> int:
        """Return the maximum number of tokens to generate."""
        return (
            self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionCall:
    """A completion call; ``body`` is the body sent to the engine."""

    incoming: IncomingRequest
    team: str
    key_id: str
    service: ModelService
    path: str
    body: bytes
    is_streamed: bool
    prompt_text: str
    max_tokens: int

    def profile(self) -> RequestProfile:
        """Return the profile that admission and routing decide by."""
        return RequestProfile(
            request_id=self.incoming.execution_id,
            team=self.team,
            service=self.service.name,
            priority=self.incoming.priority,
            prompt_tokens=len(self.prompt_text) // CHARACTERS_PER_TOKEN + 1,
            expected_tokens=self.max_tokens,
            prefix_hashes=prefix_hashes(self.prompt_text),
            deadline=self.incoming.deadline,
        )


ParsedBody: TypeAlias = CompletionBody | NotRun


def parse_completion_body(text: bytes, path: str) -> ParsedBody:
    """Return the parsed body of a completion call, or a refusal."""
    try:
        body = CompletionBody.model_validate_json(text)
    except pydantic.ValidationError as error:
        complaints = '; '.join(format_validation_errors(error))
        return _malformed(complaints)
    if path.endswith('/chat/completions'):
        if not body.messages:
            return _malformed('messages: is missing or empty')
    elif body.prompt is None:
        return _malformed('prompt: is missing')
    return body


def engine_body(body: CompletionBody, service: ModelService) -> bytes:
    """Return the engine's body: the engine's model name, streaming on."""
    fields = body.model_dump(exclude_unset=True)
    fields['model'] = service.model
    fields['stream'] = True
    return json.dumps(fields).encode()


def _malformed(detail: str) -> NotRun:
    return NotRun(HTTPStatus.BAD_REQUEST, 'Malformed body', detail)
