"""JSON encoding of the tables and errors that daemons return."""

from typing import Any

import pydantic

from .exceptions import StatementError
from .tables import Cell, Column, Table


class AnswerDocument(pydantic.BaseModel):
    """The JSON form of a table."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]
    notes: tuple[str, ...] = ()
    missing_hosts: tuple[str, ...] = ()

    @pydantic.model_validator(mode='after')
    def _check_widths(self) -> 'AnswerDocument':
        width = len(self.columns)
        if any(len(row) != width for row in self.rows):
            raise ValueError('a row has not a cell for each column')
        return self


class StatementErrorDocument(pydantic.BaseModel):
    """The JSON form of a statement error."""

    title: str
    detail: str = ''
    line: int = 1
    column: int = 1
    expected: tuple[str, ...] = ()


def table_to_json(table: Table) -> dict[str, Any]:
    """Return the JSON value of a table."""
    return {
        'columns': [column.name for column in table.columns],
        'rows': [list(row) for row in table.rows],
        'notes': list(table.notes),
        'missing_hosts': list(table.missing_hosts),
    }


def table_from_json(raw: Any) -> Table:
    """Return the table that a JSON value encodes.

    Raises:
        pydantic.ValidationError: If the value does not encode a table.
    """
    document = AnswerDocument.model_validate(raw)
    return Table(
        tuple(Column(name) for name in document.columns),
        document.rows,
        document.notes,
        document.missing_hosts,
    )


def error_to_json(error: StatementError) -> dict[str, Any]:
    """Return the JSON value of a statement error."""
    document = StatementErrorDocument(
        title='The statement is malformed',
        detail=error.message,
        line=error.line,
        column=error.column,
        expected=error.expected,
    )
    return document.model_dump(mode='json')


def error_from_json(raw: Any) -> StatementError:
    """Return the statement error that a JSON value encodes.

    Raises:
        pydantic.ValidationError: If the value does not encode one.
    """
    document = StatementErrorDocument.model_validate(raw)
    return StatementError(
        document.detail or document.title,
        document.line,
        document.column,
        document.expected,
    )
