"""Renders an error with its position in the statement."""

from .exceptions import StatementError


def render_error(error: StatementError, text: str) -> str:
    """Return the line of the error, a caret under it and the message.

    Args:
        error: The error.
        text: The text to which the error's line and column refer.
    """
    lines = text.expandtabs(1).split('\n')
    position = f'line {error.line}, column {error.column}'
    rendered = [
        *lines[error.line - 1 : error.line],
        '^'.rjust(error.column),
        f'{position}: {error.message}',
    ]
    if error.expected:
        rendered.append(f'expected {enumerate_words(error.expected)}')
    return '\n'.join(rendered)


def enumerate_words(words: tuple[str, ...]) -> str:
    """Return the words as ``a, b or c``."""
    *rest, last = words
    if not rest:
        return last
    listed = ', '.join(rest)
    return f'{listed} or {last}'
