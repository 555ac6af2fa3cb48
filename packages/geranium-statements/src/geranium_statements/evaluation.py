"""Evaluates queries on tables."""

import difflib
from collections.abc import Callable, Sequence
from typing import TypeAlias

from . import conditions
from .comparisons import cell_matcher
from .exceptions import StatementError
from .queries import OrderBy, Show
from .tables import Cell, Row, Table

_Predicate: TypeAlias = Callable[[Row], bool]
_MAX_SUGGESTIONS = 3


def run_query(show: Show, table: Table) -> Table:
    """Return the rows and columns that the query selects from a table.

    The table's notes and missing hosts are kept.

    Raises:
        StatementError: If the query names an unknown column, or compares a
            column with a literal of another kind.
    """
    return _Evaluation(table).run(show)


class _Evaluation:
    def __init__(self, table: Table) -> None:
        self._table = table
        self._indexes_by_name = {
            column.name: index for index, column in enumerate(table.columns)
        }

    def run(self, show: Show) -> Table:
        """Filter, sort, limit and project the rows, in this order."""
        rows: Sequence[Row] = self._table.rows
        if show.where is not None:
            matches = self._predicate(show.where)
            rows = [row for row in rows if matches(row)]
        for key in reversed(show.order_by):
            rows = self._sort(rows, key)
        if show.limit is not None:
            rows = rows[: show.limit]
        return self._project(rows, show.columns)

    def _project(
        self,
        rows: Sequence[Row],
        names: tuple[conditions.ColumnName, ...],
    ) -> Table:
        indexes = list(range(len(self._table.columns)))
        if names:
            indexes = [self._column_index(name) for name in names]
        return Table(
            tuple(self._table.columns[index] for index in indexes),
            tuple(tuple(row[index] for index in indexes) for row in rows),
            self._table.notes,
            self._table.missing_hosts,
        )

    def _sort(self, rows: Sequence[Row], key: OrderBy) -> list[Row]:
        index = self._column_index(key.column)
        present = [row for row in rows if row[index] is not None]
        absent = [row for row in rows if row[index] is None]
        present.sort(
            key=lambda row: _sort_key(row[index]),
            reverse=key.descending,
        )
        return present + absent

    def _column_index(self, name: conditions.ColumnName) -> int:
        index = self._indexes_by_name.get(name.name)
        if index is None:
            raise self._unknown_column_error(name)
        return index

    def _unknown_column_error(
        self, name: conditions.ColumnName
    ) -> StatementError:
        close = difflib.get_close_matches(
            name.name, self._indexes_by_name, _MAX_SUGGESTIONS
        )
        return StatementError(
            f'there is no column {name.name!r}',
            name.line,
            name.column,
            tuple(close or self._indexes_by_name),
        )

    def _predicate(self, condition: conditions.Condition) -> _Predicate:
        match condition:
            case conditions.AllOf(parts):
                predicates = [self._predicate(part) for part in parts]
                return lambda row: all(holds(row) for holds in predicates)
            case conditions.AnyOf(parts):
                predicates = [self._predicate(part) for part in parts]
                return lambda row: any(holds(row) for holds in predicates)
            case conditions.Not(part):
                negated = self._predicate(part)
                return lambda row: not negated(row)
            case conditions.Membership(column, literals):
                return self._membership(column, literals)
            case conditions.Comparison():
                return self._comparison(condition)

    def _membership(
        self,
        column: conditions.ColumnName,
        literals: tuple[conditions.Literal, ...],
    ) -> _Predicate:
        predicates = [
            self._comparison(
                conditions.Comparison(
                    column, conditions.Operator.EQUAL, literal
                )
            )
            for literal in literals
        ]
        return lambda row: any(holds(row) for holds in predicates)

    def _comparison(self, comparison: conditions.Comparison) -> _Predicate:
        index = self._column_index(comparison.column)
        cells = (row[index] for row in self._table.rows)
        matches = cell_matcher(comparison, self._table.columns[index], cells)
        return lambda row: matches(row[index])


def _sort_key(cell: Cell) -> tuple[bool, float, str]:
    """Sort numbers before texts; a merged column can contain both."""
    if isinstance(cell, str):
        return (True, 0, cell)
    return (False, cell or 0, '')
