"""Encodes and decodes forwarded requests and the frames of their responses."""

import functools
import math
import pathlib
from typing import Any

import capnp

from ..messages import (
    Headers,
    IncomingRequest,
    Prompt,
    PromptPart,
    ResponseHead,
)
from ..outcomes import CutOff, Delivered, Failed, Refused, TimedOut
from ..zone_reports import MS_IN_S
from .messages import (
    AliveFrame,
    DataFrame,
    EndFrame,
    ForwardedRequest,
    Frame,
    HeadFrame,
    RunProgress,
)

_MAX_INT32 = 0x7FFFFFFF


class MalformedMessageError(Exception):
    """Bytes that are not a message between hosts."""


@functools.cache
def _schema() -> Any:
    path = pathlib.Path(__file__).with_name('forwarding.capnp')
    return capnp.load(str(path))


def load_schema() -> None:
    """Load the schema now, and not with the first request."""
    _schema()


def encode_request(request: ForwardedRequest, now: float) -> bytes:
    """Encode a request; instants become the time left from ``now`` on."""
    arrival, progress = request.arrival, request.progress
    message = _schema().Request.new_message(
        sender=request.sender,
        identity=_encode(arrival.identity),
        method=_encode(arrival.method),
        path=_encode(arrival.path),
        headers=_encode_headers(arrival.headers),
        body=arrival.body,
        hostName=_encode(request.host),
        key=_encode(request.key),
        service=request.service,
        leftMs=_milliseconds(max(arrival.caller_deadline - now, 0)),
        hasDue=math.isfinite(request.due_at),
        hasPrompt=arrival.prompt is not None,
        resumeAfter=_encode(arrival.resume_after),
        beganAs=_encode(arrival.began_as),
        sends=progress.sends,
        runs=progress.runs,
        firstRecorded=progress.first_recorded,
        counted=progress.counted,
        version=progress.version or '',
    )
    if math.isfinite(request.due_at):
        message.dueInMs = _milliseconds(request.due_at - now)
    if arrival.prompt is not None:
        message.prompt = _encode_prompt(arrival.prompt)
    encoded: bytes = message.to_bytes()
    return encoded


def decode_request(encoded: bytes, now: float) -> ForwardedRequest:
    """Decode a request that has arrived at ``now``.

    Raises:
        MalformedMessageError: If the bytes are not a request.
    """
    try:
        with _schema().Request.from_bytes(
            encoded, traversal_limit_in_words=len(encoded)
        ) as message:
            return _decode_request(message, now)
    except (capnp.KjException, ValueError) as error:
        raise MalformedMessageError(str(error)) from error


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame."""
    encoded: bytes = _schema().Frame.new_message(**_fields_of(frame)).to_bytes()
    return encoded


def decode_frame(encoded: bytes) -> Frame:
    """Decode a frame.

    Raises:
        MalformedMessageError: If the bytes are not a frame.
    """
    try:
        with _schema().Frame.from_bytes(
            encoded, traversal_limit_in_words=len(encoded)
        ) as message:
            return _decode_frame(message)
    except (capnp.KjException, ValueError) as error:
        raise MalformedMessageError(str(error)) from error


def _fields_of(frame: Frame) -> dict[str, object]:
    match frame:
        case HeadFrame(head=head, version=version):
            encoded_head = {
                'status': head.status,
                'headers': _encode_headers(head.headers),
                'signed': head.signed,
                'version': version or '',
            }
            return {'head': encoded_head}
        case DataFrame(data=data):
            return {'data': data}
        case EndFrame():
            return {'end': _encode_end(frame)}
        case AliveFrame():
            return {'alive': None}


def _decode_request(message: Any, now: float) -> ForwardedRequest:
    due_at = math.inf
    if message.hasDue:
        due_at = now + message.dueInMs / MS_IN_S
    return ForwardedRequest(
        sender=message.sender,
        host=_decode(message.hostName),
        key=_decode_optional(message.key),
        arrival=IncomingRequest(
            identity=_decode(message.identity),
            method=_decode(message.method),
            path=_decode(message.path),
            headers=_decode_headers(message.headers),
            body=bytes(message.body),
            arrived_at=now,
            caller_deadline=now + message.leftMs / MS_IN_S,
            resume_after=_decode_optional(message.resumeAfter),
            prompt=_decode_prompt(message),
            began_as=_decode_optional(message.beganAs),
        ),
        service=message.service,
        due_at=due_at,
        progress=RunProgress(
            message.sends,
            message.runs,
            message.firstRecorded,
            message.counted,
            message.version or None,
        ),
    )


def _decode_frame(message: Any) -> Frame:
    match str(message.which()):
        case 'head':
            head = message.head
            decoded = ResponseHead(
                head.status, _decode_headers(head.headers), head.signed
            )
            return HeadFrame(decoded, head.version or None)
        case 'data':
            return DataFrame(bytes(message.data))
        case 'end':
            return _decode_end(message.end)
        case _:
            return AliveFrame()


def _encode_end(frame: EndFrame) -> dict[str, object]:
    match frame.outcome:
        case Delivered(status=status):
            return {'outcome': 'delivered', 'status': status}
        case Refused() as refusal:
            return {
                'outcome': 'refused',
                'reason': refusal.reason,
                'retryAfterMs': _milliseconds(refusal.retry_after_s),
                'elsewhere': refusal.elsewhere,
            }
        case Failed(reason=reason):
            return {'outcome': 'failed', 'reason': reason}
        case TimedOut():
            return {'outcome': 'timedOut'}
        case CutOff(reason=reason):
            return {'outcome': 'cutOff', 'reason': reason}


def _decode_end(end: Any) -> EndFrame:
    match str(end.outcome):
        case 'delivered':
            return EndFrame(Delivered(end.status))
        case 'refused':
            retry_after_s = end.retryAfterMs / MS_IN_S
            return EndFrame(
                Refused(end.reason, retry_after_s, elsewhere=end.elsewhere)
            )
        case 'timedOut':
            return EndFrame(TimedOut())
        case 'cutOff':
            return EndFrame(CutOff(end.reason))
        case _:
            return EndFrame(Failed(end.reason))


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


def _encode_headers(headers: Headers) -> list[dict[str, bytes]]:
    return [
        {'name': _encode(name), 'value': _encode(text)}
        for name, text in headers
    ]


def _decode_headers(headers: Any) -> Headers:
    return tuple(
        (_decode(header.name), _decode(header.value)) for header in headers
    )


def _encode(text: str | None) -> bytes:
    return (text or '').encode(errors='surrogateescape')


def _decode(encoded: Any) -> str:
    return bytes(encoded).decode(errors='surrogateescape')


def _decode_optional(encoded: Any) -> str | None:
    return _decode(encoded) or None


def _milliseconds(duration_s: float) -> int:
    return int(max(min(duration_s * MS_IN_S, _MAX_INT32), -_MAX_INT32))
