"""Encodes and decodes the calls of hosts to each other."""

import math
from typing import Any

import capnp

from ..messages import IncomingRequest, Prompt, PromptPart
from ..zone_reports import MS_IN_S
from .encoding import (
    MalformedMessageError,
    decode_headers,
    decode_optional,
    decode_text,
    encode_headers,
    encode_text,
    member_of,
    milliseconds,
    schema,
)
from .messages import ForwardedRequest, ReachQuestion, RunProgress


def encode_request(request: ForwardedRequest, now: float) -> bytes:
    """Encode a request; instants become the time left from ``now`` on."""
    encoded: bytes = (
        schema()
        .Call.new_message(request=_encode_request(request, now))
        .to_bytes()
    )
    return encoded


def encode_question(question: ReachQuestion) -> bytes:
    """Encode a question."""
    encoded: bytes = (
        schema().Call.new_message(question=question.target).to_bytes()
    )
    return encoded


def decode_call(encoded: bytes, now: float) -> ForwardedRequest | ReachQuestion:
    """Decode a call that has arrived at ``now``.

    Raises:
        UnknownMessageError: If it is a call that a later build has added.
        MalformedMessageError: If the bytes are not a call.
    """
    try:
        with schema().Call.from_bytes(
            encoded, traversal_limit_in_words=len(encoded)
        ) as call:
            return _decode_call(call, now)
    except (capnp.KjException, ValueError) as error:
        raise MalformedMessageError(str(error)) from error


def _encode_request(request: ForwardedRequest, now: float) -> dict[str, object]:
    arrival, progress = request.arrival, request.progress
    fields: dict[str, object] = {
        'sender': request.sender,
        'identity': encode_text(arrival.identity),
        'method': encode_text(arrival.method),
        'path': encode_text(arrival.path),
        'headers': encode_headers(arrival.headers),
        'body': arrival.body,
        'hostName': encode_text(request.host),
        'key': encode_text(request.key),
        'service': request.service,
        'leftMs': milliseconds(max(arrival.caller_deadline - now, 0)),
        'resumeAfter': encode_text(arrival.resume_after),
        'beganAs': encode_text(arrival.began_as),
        'sends': progress.sends,
        'runs': progress.runs,
        'firstRecorded': progress.first_recorded,
        'counted': progress.counted,
        'version': progress.version or '',
        'prefilled': progress.prefilled,
    }
    if math.isfinite(request.due_at):
        fields['hasDue'] = True
        fields['dueInMs'] = milliseconds(request.due_at - now)
    if arrival.prompt is not None:
        fields['hasPrompt'] = True
        fields['prompt'] = _encode_prompt(arrival.prompt)
    return fields


def _decode_call(call: Any, now: float) -> ForwardedRequest | ReachQuestion:
    if member_of(call) == 'question':
        return ReachQuestion(call.question)
    return _decode_request(call.request, now)


def _decode_request(message: Any, now: float) -> ForwardedRequest:
    due_at = math.inf
    if message.hasDue:
        due_at = now + message.dueInMs / MS_IN_S
    return ForwardedRequest(
        sender=message.sender,
        host=decode_text(message.hostName),
        key=decode_optional(message.key),
        arrival=IncomingRequest(
            identity=decode_text(message.identity),
            method=decode_text(message.method),
            path=decode_text(message.path),
            headers=decode_headers(message.headers),
            body=bytes(message.body),
            arrived_at=now,
            caller_deadline=now + message.leftMs / MS_IN_S,
            resume_after=decode_optional(message.resumeAfter),
            prompt=_decode_prompt(message),
            began_as=decode_optional(message.beganAs),
        ),
        service=message.service,
        due_at=due_at,
        progress=RunProgress(
            message.sends,
            message.runs,
            message.firstRecorded,
            message.counted,
            message.version or None,
            message.prefilled,
        ),
    )


def _encode_prompt(prompt: Prompt) -> dict[str, object]:
    return {
        'tokens': prompt.tokens,
        'maxGenerated': prompt.max_generated,
        'identities': [part.identity for part in prompt.parts],
        'partTokens': [part.tokens for part in prompt.parts],
    }


def _decode_prompt(message: Any) -> Prompt | None:
    if not message.hasPrompt:
        return None
    prompt = message.prompt
    parts = zip(tuple(prompt.identities), tuple(prompt.partTokens), strict=True)
    return Prompt(
        prompt.tokens,
        prompt.maxGenerated,
        tuple(PromptPart(identity, tokens) for identity, tokens in parts),
    )
