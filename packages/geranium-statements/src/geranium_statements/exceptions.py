"""Errors of the statement language."""

from geranium_model import ModelError


class StatementError(Exception):
    """A statement is malformed or names something that is not there.

    ``line`` and ``column`` count from 1 and name the place in the statement;
    ``expected`` says in the operator's words what could stand there.
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

    def moved(self, line: int, column: int) -> 'StatementError':
        """Return the same error for a statement that starts elsewhere.

        Args:
            line: Line of the surrounding text on which the statement starts.
            column: Column of that line.
        """
        offset = column - 1 if self.line == 1 else 0
        return StatementError(
            self.message,
            self.line + line - 1,
            self.column + offset,
            self.expected,
        )


class NameInUseError(ModelError):
    """Something can't be deleted while others name it."""

    def __init__(self, kind: str, name: str, users: tuple[str, ...]) -> None:
        named_by = ', '.join(users)
        super().__init__(f'{kind} {name!r} is still named by {named_by}')
        self.kind = kind
        self.name = name
        self.users = users
