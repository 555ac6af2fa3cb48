"""Splits scripts into statements."""

import dataclasses
import re
from collections.abc import Iterator

_PIECE = re.compile(
    r"""
    (?P<quoted> "(?:[^"\\\n]|\\.)*" | '[^'\n]*' )
    | (?P<comment> \#[^\n]* )
    | (?P<separator> [;\n] )
    | (?P<plain> [^"'\#;\n]+ | ["'] )
    """,
    re.VERBOSE,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ScriptStatement:
    """A statement of a script; line and column count from 1."""

    text: str
    line: int
    column: int


def split_script(script: str) -> Iterator[ScriptStatement]:
    """Yield the statements of a script, without parsing them.

    ``;`` and line ends separate statements, except within quotes. ``#`` starts
    a comment that ends with the line.
    """
    start = 0
    for piece in _PIECE.finditer(script):
        if piece.lastgroup == 'separator':
            yield from _statement(script, start, piece.start())
            start = piece.end()
        elif piece.lastgroup == 'comment':
            yield from _statement(script, start, piece.start())
            start = piece.end()
    yield from _statement(script, start, len(script))


def _statement(script: str, start: int, end: int) -> Iterator[ScriptStatement]:
    raw = script[start:end]
    text = raw.strip()
    if text:
        first = start + len(raw) - len(raw.lstrip())
        line = script.count('\n', 0, first) + 1
        column = first - script.rfind('\n', 0, first)
        yield ScriptStatement(text, line, column)
