"""Encodes and decodes the frames in which a host answers a call."""

from typing import Any

import capnp
from geranium_policy.crash_evidence import TargetReach

from ..messages import ResponseHead
from ..outcomes import (
    CallsMade,
    CutOff,
    Delivered,
    Failed,
    Refused,
    TimedOut,
)
from ..response_checks import is_final_status
from ..zone_reports import MS_IN_S
from .encoding import (
    MalformedMessageError,
    decode_headers,
    encode_headers,
    member_of,
    milliseconds,
    name_of,
    schema,
)
from .messages import (
    AliveFrame,
    DataFrame,
    EndFrame,
    Frame,
    HeadFrame,
    ReachFrame,
)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame."""
    encoded: bytes = schema().Frame.new_message(**_fields_of(frame)).to_bytes()
    return encoded


def decode_frame(encoded: bytes) -> Frame:
    """Decode a frame.

    Raises:
        UnknownMessageError: If it is a frame that a later build has added.
        MalformedMessageError: If the bytes are not a frame.
    """
    try:
        with schema().Frame.from_bytes(
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
                'headers': encode_headers(head.headers),
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
        case ReachFrame(reach=reach):
            return {'reach': reach.value}


def _decode_frame(message: Any) -> Frame:
    match member_of(message):
        case 'head':
            head = message.head
            if not is_final_status(head.status):
                raise ValueError(f'status {head.status}')
            decoded = ResponseHead(
                head.status, decode_headers(head.headers), head.signed
            )
            return HeadFrame(decoded, head.version or None)
        case 'data':
            return DataFrame(bytes(message.data))
        case 'end':
            return _decode_end(message.end)
        case 'reach':
            return ReachFrame(TargetReach(name_of(message.reach)))
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
                'retryAfterMs': milliseconds(refusal.retry_after_s),
                'elsewhere': refusal.elsewhere,
                **_encode_calls(refusal.calls),
            }
        case Failed(reason=reason, calls=calls):
            return {
                'outcome': 'failed',
                'reason': reason,
                **_encode_calls(calls),
            }
        case TimedOut():
            return {'outcome': 'timedOut'}
        case CutOff(reason=reason, calls=calls):
            return {
                'outcome': 'cutOff',
                'reason': reason,
                **_encode_calls(calls),
            }


def _decode_end(end: Any) -> EndFrame:
    match name_of(end.outcome):
        case 'delivered':
            return EndFrame(Delivered(end.status))
        case 'refused':
            return EndFrame(_decode_refusal(end))
        case 'timedOut':
            return EndFrame(TimedOut())
        case 'cutOff':
            return EndFrame(CutOff(end.reason, _decode_calls(end)))
        case _:
            return EndFrame(Failed(end.reason, _decode_calls(end)))


def _decode_refusal(end: Any) -> Refused:
    return Refused(
        end.reason,
        end.retryAfterMs / MS_IN_S,
        elsewhere=end.elsewhere,
        calls=_decode_calls(end),
    )


def _encode_calls(calls: CallsMade) -> dict[str, object]:
    return {
        'sends': calls.sends,
        'runs': calls.runs,
        'firstRecorded': calls.first_recorded,
        'prefilled': calls.prefilled,
        'counted': calls.counted,
    }


def _decode_calls(end: Any) -> CallsMade:
    return CallsMade(
        end.sends, end.runs, end.firstRecorded, end.prefilled, end.counted
    )
