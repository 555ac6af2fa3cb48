"""Tests that the canonical text of a statement parses to an equal one."""

import dataclasses
import enum
import types
import typing

from geranium_statements import (
    Change,
    Collection,
    OrderBy,
    Show,
    Watch,
    commands,
    conditions,
    orders,
)
from geranium_statements.formatting import format_statement
from geranium_statements.parsing import parse_statement
from hypothesis import example, given, settings
from hypothesis import strategies as st

names = st.one_of(
    st.from_regex('[a-z0-9][a-z0-9-]{0,12}', fullmatch=True),
    st.sampled_from(['order', 'not', 'true', 'limit', 'where', '42', '5ms']),
    st.text(max_size=8),
)
digits = st.integers(min_value=0, max_value=10**9)
numbers = st.one_of(
    st.integers().map(str),
    st.floats(allow_nan=False, allow_infinity=False).map(repr),
)
column_names = names.map(conditions.ColumnName)
literals = st.one_of(
    names.map(conditions.Text),
    numbers.map(conditions.Number),
    st.builds(
        conditions.Duration,
        digits.map(str),
        st.sampled_from(sorted(conditions.SECONDS_BY_UNIT)),
    ),
    st.booleans().map(conditions.Boolean),
    st.just(conditions.Null()),
)
operators = set(conditions.Operator) - {conditions.Operator.LIKE}
comparisons = st.one_of(
    st.builds(
        conditions.Comparison,
        column_names,
        st.sampled_from(sorted(operators, key=str)),
        literals,
    ),
    st.builds(
        conditions.Comparison,
        column_names,
        st.just(conditions.Operator.LIKE),
        names.map(conditions.Text),
    ),
    st.builds(
        conditions.Membership,
        column_names,
        st.lists(literals, min_size=1, max_size=3).map(tuple),
    ),
)


def _combined(parts):
    several = st.lists(parts, min_size=2, max_size=3).map(tuple)
    return st.one_of(
        several.map(conditions.AllOf),
        several.map(conditions.AnyOf),
        parts.map(conditions.Not),
    )


# A column named like the keyword that can start a condition.
keyword_columns = conditions.Not(
    conditions.Membership(
        conditions.ColumnName('not'), (conditions.Text('none'),)
    ),
)
sort_keys = st.builds(OrderBy, column_names, st.booleans())
shows = st.builds(
    Show,
    st.sampled_from(Collection),
    st.lists(column_names, max_size=3).map(tuple),
    st.none() | st.recursive(comparisons, _combined, max_leaves=6),
    st.lists(sort_keys, max_size=2).map(tuple),
    st.none() | digits,
)


_STRATEGIES_BY_TYPE = {
    str: names,
    int: digits,
    bool: st.booleans(),
    float: st.floats(min_value=0, max_value=1e9),
}
_STRATEGIES_BY_FIELD = {
    'repeatable': st.sampled_from([None, True, False]),
    'path': st.text(max_size=8).map('/{}'.format),
    'methods': st.lists(names.map(str.upper), max_size=2).map(tuple),
    'sha256': st.none() | st.from_regex('[0-9a-f]{64}', fullmatch=True),
}


def _field_strategy(name, annotation):
    """Return a strategy for the values that a command's field can have."""
    override = _STRATEGIES_BY_FIELD.get(name)
    if override is not None:
        return override
    if isinstance(annotation, types.UnionType):
        inner, _ = typing.get_args(annotation)
        return st.none() | _field_strategy('', inner)
    if typing.get_origin(annotation) is tuple:
        return st.lists(names, max_size=2).map(tuple)
    if issubclass(annotation, enum.Enum):
        return st.sampled_from(annotation)
    return _STRATEGIES_BY_TYPE[annotation]


def _command_strategy(kind):
    hints = typing.get_type_hints(kind)
    fields = {
        field.name: _field_strategy(field.name, hints[field.name])
        for field in dataclasses.fields(kind)
    }
    return st.builds(kind, **fields)


def _has_options(command):
    """Exclude ``set service`` without options, which does not parse."""
    unset = commands.SetService(getattr(command, 'name', ''))
    return command != unset


changes = st.builds(
    Change,
    st.one_of(
        [_command_strategy(kind) for kind in typing.get_args(commands.Command)]
    ).filter(_has_options),
    st.none() | digits,
)
statements = st.one_of(
    shows,
    st.builds(
        Watch,
        shows,
        st.builds(conditions.Duration, digits.map(str), st.just('ms')),
    ),
    changes,
    st.one_of(
        [_command_strategy(kind) for kind in typing.get_args(orders.Order)]
    ),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(statements)
@example(Show(Collection.HOSTS, where=keyword_columns))
def test_canonical_text_parses_to_an_equal_statement(statement):
    assert parse_statement(format_statement(statement)) == statement
