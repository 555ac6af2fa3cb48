"""Parts of the encoding of messages between hosts."""

import functools
import pathlib
from typing import Any

import capnp

from ..messages import Headers
from ..zone_reports import MS_IN_S

_MAX_INT32 = 0x7FFFFFFF


class MalformedMessageError(Exception):
    """Bytes that are not a message between hosts."""


class UnknownMessageError(MalformedMessageError):
    """A message of a kind that this build does not know."""


@functools.cache
def schema() -> Any:
    """Return the schema; it is loaded with the first call."""
    path = pathlib.Path(__file__).with_name('forwarding.capnp')
    return capnp.load(str(path))


def member_of(message: Any) -> str:
    """Return the name of the member that a union holds.

    Raises:
        UnknownMessageError: If a later build has added the member.
    """
    try:
        return str(message.which())
    except capnp.KjException as error:
        raise UnknownMessageError('unknown kind of message') from error


def name_of(enumerant: Any) -> str:
    """Return the name of an enum value; empty if a later build added it."""
    try:
        return str(enumerant)
    except RuntimeError:
        # pycapnp raises it for numbers that the schema does not name.
        return ''


def encode_headers(headers: Headers) -> list[dict[str, bytes]]:
    """Encode headers."""
    return [
        {'name': encode_text(name), 'value': encode_text(text)}
        for name, text in headers
    ]


def decode_headers(headers: Any) -> Headers:
    """Decode headers."""
    return tuple(
        (decode_text(header.name), decode_text(header.value))
        for header in headers
    )


def encode_text(text: str | None) -> bytes:
    """Encode a text of HTTP; no text becomes an empty one."""
    return (text or '').encode(errors='surrogateescape')


def decode_text(encoded: Any) -> str:
    """Decode a text of HTTP."""
    return bytes(encoded).decode(errors='surrogateescape')


def decode_optional(encoded: Any) -> str | None:
    """Decode a text of HTTP; an empty one is none."""
    return decode_text(encoded) or None


def milliseconds(duration_s: float) -> int:
    """Return a duration in milliseconds that fits its field."""
    return int(max(min(duration_s * MS_IN_S, _MAX_INT32), -_MAX_INT32))
