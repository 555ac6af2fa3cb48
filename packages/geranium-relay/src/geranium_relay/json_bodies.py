"""Decodes JSON bodies whose parts come from different writers.

A body that a store sends may contain values that the decoder rejects as a
whole, such as an entry that is nested deeper than the interpreter's recursion
limit. They are replaced, so that the rest of the body is decoded.
"""

import enum
import json
import math
import re
from types import MappingProxyType
from typing import Any

MAX_DEPTH = 64  # levels of a body with replaced values
_MAX_NUMBER_LENGTH = 512  # characters; the decoder rejects 4301 digits
_PLACEHOLDER = 'NaN'  # decoded by the hook for constants
# Runs of ordinary tokens are matched at once, so that few calls are made.
_TOKEN = re.compile(
    r"""
    (?:
        "(?:[^"\\]++|\\.)*+"
        | [\s,:]++
        | (?:true|false|null|-?(?:0|[1-9][0-9]{0,15}+))(?=[\s,:\[\]{}"]|\Z)
    )++
    | [\[\]{}]
    | "(?:[^"\\]++|\\.)*+
    | (?P<scalar>[^\s"\[\]{},:]++)
    """,
    re.DOTALL | re.VERBOSE,
)
_STEP_BY_BRACKET = MappingProxyType(
    {**dict.fromkeys('[{', 1), **dict.fromkeys(']}', -1)},
)
_SCALAR = re.compile(
    r'-?(?:0|[1-9][0-9]*+)(?:\.[0-9]++)?(?:[eE][+-]?[0-9]++)?'
    '|true|false|null',
)


class Unreadable(enum.Enum):
    """Stands for a value that can't be decoded; no field has this type."""

    VALUE = 'unreadable'


def decode_body(raw: bytes, max_searched_bytes: float = math.inf) -> Any:
    """Return the JSON value of a body.

    Invalid UTF-8 is decoded to replacement characters. NaN and infinities,
    and in a body that can't be decoded otherwise what is nested deeper than
    ``MAX_DEPTH`` and invalid numbers, become ``Unreadable.VALUE``.

    Args:
        raw: The body.
        max_searched_bytes: Values of a longer one are not replaced, which
            takes about a second for a megabyte.

    Raises:
        ValueError: If the body is not JSON.
    """
    text = raw.decode(errors='replace')
    try:
        return _DECODER.decode(text)
    except (ValueError, RecursionError) as error:
        if len(raw) > max_searched_bytes:
            raise ValueError('a long body that is no JSON') from error
        return _LENIENT_DECODER.decode(_TOKEN.sub(_Replacement(), text))


class _Replacement:
    """Replaces the unreadable values of a text, token by token."""

    def __init__(self) -> None:
        self._depth = 0

    def __call__(self, token: re.Match[str]) -> str:
        """Return what stands for the next token."""
        text = token.group()
        depth_before = self._depth
        self._depth += _STEP_BY_BRACKET.get(text, 0)
        if max(depth_before, self._depth) > MAX_DEPTH:
            return _PLACEHOLDER if self._depth == MAX_DEPTH else ''
        if token.lastgroup is None or _is_readable(text):
            return text
        return _PLACEHOLDER


def _is_readable(scalar: str) -> bool:
    return (
        len(scalar) <= _MAX_NUMBER_LENGTH
        and _SCALAR.fullmatch(scalar) is not None
    )


def _decode_constant(_constant: str) -> Unreadable:
    return Unreadable.VALUE


_DECODER = json.JSONDecoder(parse_constant=_decode_constant)
# Texts may contain control characters.
_LENIENT_DECODER = json.JSONDecoder(
    parse_constant=_decode_constant, strict=False
)
