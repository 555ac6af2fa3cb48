"""Compares table cells with literals of a statement."""

import enum
import math
import operator
import re
import types
from collections.abc import Callable, Iterable
from typing import TypeAlias

from . import conditions
from .exceptions import StatementError
from .tables import Cell, Column

CellMatcher: TypeAlias = Callable[[Cell], bool]


class _Kind(enum.Enum):
    TEXT = 'texts'
    NUMBER = 'numbers'
    BOOLEAN = 'true or false'


_PATTERNS_BY_WILDCARD = types.MappingProxyType({'%': '.*', '_': '.'})
_ORDERINGS = types.MappingProxyType(
    {
        conditions.Operator.LESS: operator.lt,
        conditions.Operator.AT_MOST: operator.le,
        conditions.Operator.GREATER: operator.gt,
        conditions.Operator.AT_LEAST: operator.ge,
    }
)


def cell_matcher(
    comparison: conditions.Comparison,
    column: Column,
    cells: Iterable[Cell],
) -> CellMatcher:
    """Return a predicate that evaluates the comparison for a cell.

    An ordering is false for an empty cell.

    Args:
        comparison: The comparison.
        column: The column to compare.
        cells: The column's cells, from which the kinds of values are inferred.

    Raises:
        StatementError: If the column has no values of the literal's kind, or
            the operator does not apply to the literal.
    """
    _check_kind(comparison, _kinds_of_cells(cells))
    literal = comparison.literal
    match comparison.operator:
        case conditions.Operator.EQUAL:
            return _equality_matcher(comparison, column)
        case conditions.Operator.NOT_EQUAL:
            equals = _equality_matcher(comparison, column)
            return lambda cell: not equals(cell)
        case conditions.Operator.LIKE if isinstance(literal, conditions.Text):
            pattern = _compile_like_pattern(literal.text)
            return lambda cell: _matches_pattern(cell, pattern)
        case _:
            return _ordering_matcher(comparison, column)


def _kinds_of_cells(cells: Iterable[Cell]) -> set[_Kind]:
    kinds = {_kind_of_cell(cell) for cell in cells if cell is not None}
    return kinds or set(_Kind)


def _kind_of_cell(cell: Cell) -> _Kind:
    match cell:
        case bool():
            return _Kind.BOOLEAN
        case str():
            return _Kind.TEXT
        case _:
            return _Kind.NUMBER


def _check_kind(
    comparison: conditions.Comparison, column_kinds: set[_Kind]
) -> None:
    accepted = _comparable_kinds(comparison)
    if accepted and not accepted & column_kinds:
        names = ' and '.join(sorted(kind.value for kind in column_kinds))
        raise _comparison_error(comparison, f'holds {names}')


def _comparable_kinds(comparison: conditions.Comparison) -> set[_Kind]:
    """Return the kinds of cells that the comparison can match."""
    match comparison.literal:
        case conditions.Number() if comparison.operator in _ORDERINGS:
            return {_Kind.NUMBER}
        case conditions.Number():
            # A version such as 1.10 is text but is parsed as a number.
            return {_Kind.NUMBER, _Kind.TEXT}
        case conditions.Duration():
            return {_Kind.NUMBER}
        case conditions.Boolean():
            return {_Kind.BOOLEAN}
        case conditions.Text():
            return {_Kind.TEXT}
        case conditions.Null():
            return set()


def _comparison_error(
    comparison: conditions.Comparison, reason: str
) -> StatementError:
    column = comparison.column
    return StatementError(
        f'column {column.name!r} {reason}', column.line, column.column
    )


def _equality_matcher(
    comparison: conditions.Comparison, column: Column
) -> CellMatcher:
    match comparison.literal:
        case conditions.Text(text):
            return lambda cell: cell == text
        case conditions.Number(text) as number:
            return lambda cell: _equals_number(cell, text, number.amount)
        case conditions.Duration() as duration:
            amount = _convert_duration(column, comparison, duration)
            return lambda cell: _is_close(cell, amount)
        case conditions.Boolean(value):
            return lambda cell: cell is value
        case conditions.Null():
            return lambda cell: cell is None


def _equals_number(cell: Cell, text: str, amount: float) -> bool:
    if isinstance(cell, str):
        return cell == text
    return not isinstance(cell, bool) and cell == amount


def _is_close(cell: Cell, amount: float) -> bool:
    if isinstance(cell, bool | str) or cell is None:
        return False
    return math.isclose(cell, amount)


def _ordering_matcher(
    comparison: conditions.Comparison, column: Column
) -> CellMatcher:
    compare = _ORDERINGS.get(comparison.operator)
    if compare is None:
        raise _comparison_error(
            comparison, 'is compared by like with texts only'
        )
    operand = _operand(comparison, column)
    kind = _kind_of_cell(operand)
    return lambda cell: (
        cell is not None
        and _kind_of_cell(cell) is kind
        and compare(cell, operand)
    )


def _operand(comparison: conditions.Comparison, column: Column) -> str | float:
    match comparison.literal:
        case conditions.Text(text):
            return text
        case conditions.Number() as number:
            return number.amount
        case conditions.Duration() as duration:
            return _convert_duration(column, comparison, duration)
        case _:
            raise _comparison_error(
                comparison, 'is compared with true, false or none by = or !='
            )


def _convert_duration(
    column: Column,
    comparison: conditions.Comparison,
    duration: conditions.Duration,
) -> float:
    if column.unit is None:
        raise _comparison_error(comparison, 'does not hold times')
    return duration.amount_in(column.unit)


def _compile_like_pattern(text: str) -> re.Pattern[str]:
    """Compile a pattern: ``%`` matches any text, ``_`` any character."""
    pieces = (
        _PATTERNS_BY_WILDCARD.get(character, re.escape(character))
        for character in text
    )
    return re.compile(''.join(pieces), re.DOTALL)


def _matches_pattern(cell: Cell, pattern: re.Pattern[str]) -> bool:
    return isinstance(cell, str) and pattern.fullmatch(cell) is not None
