"""Exceptions of the statement language."""

from geranium_model import ModelError


class StatementError(Exception):
    """A statement is malformed or names something that does not exist.

    ``line`` and ``column`` are the position in the statement, counted from 1.
    ``expected`` describes the tokens or names that are valid there.
    """

    def __init__(
        self,
        message: str,
        line: int = 1,
        column: int = 1,
        expected: tuple[str, ...] = (),
    ) -> None:
        super().__init__(message)
        self.message = message
        self.line = line
        self.column = column
        self.expected = expected

    def with_origin(self, line: int, column: int) -> 'StatementError':
        """Return the error with its position in the surrounding text.

        Args:
            line: Line on which the statement starts.
            column: Column in which the statement starts.
        """
        offset = column - 1 if self.line == 1 else 0
        return StatementError(
            self.message,
            self.line + line - 1,
            self.column + offset,
            self.expected,
        )


class NameInUseError(ModelError):
    """An object cannot be deleted because others refer to it."""

    def __init__(self, kind: str, name: str, users: tuple[str, ...]) -> None:
        named_by = ', '.join(users)
        super().__init__(f'{kind} {name!r} is still named by {named_by}')
        self.kind = kind
        self.name = name
        self.users = users
