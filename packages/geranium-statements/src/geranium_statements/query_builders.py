"""Builds queries from parse trees.

Each method or class attribute has the name of a rule of ``statements.lark``
and is called with the transformed children of the rule.
"""

import json
import re
from typing import Any

import lark

from . import conditions, queries


@lark.v_args(inline=True)
class _TokenBuilder(lark.Transformer[lark.Token, Any]):
    """Builds names, strings, numbers and durations."""

    name = str
    text = str
    version = str
    address = str
    path = str
    service = str

    def STRING(self, token: lark.Token) -> lark.Token:
        """Return the token without quotes and escapes."""
        raw = str(token)
        if raw.startswith('"'):
            return lark.Token.new_borrow_pos(token.type, json.loads(raw), token)
        return lark.Token.new_borrow_pos(token.type, raw[1:-1], token)

    def column(self, token: lark.Token) -> conditions.ColumnName:
        """Return the column with its position in the statement."""
        return conditions.ColumnName(
            str(token), token.line or 1, token.column or 1
        )

    def duration(self, token: lark.Token) -> conditions.Duration:
        """Return the duration, split into number and unit."""
        number, unit = re.split('(?=[a-z])', token, maxsplit=1)
        return conditions.Duration(number, unit)

    def milliseconds(self, token: lark.Token) -> int:
        """Return the duration in milliseconds, rounded to an integer."""
        return round(self.duration(token).amount_in('ms'))

    def amount(self, token: lark.Token) -> float | int:
        """Return the number."""
        return conditions.Number(str(token)).amount


@lark.v_args(inline=True)
class _ConditionBuilder(_TokenBuilder):
    """Builds the conditions of ``where`` clauses."""

    def number(self, token: lark.Token) -> conditions.Number:
        """Return the number as it was written."""
        return conditions.Number(str(token))

    def literal(self, built: object) -> object:
        """Return the literal; a plain string becomes a text literal."""
        return conditions.Text(built) if isinstance(built, str) else built

    def boolean(self, token: lark.Token) -> conditions.Boolean:
        """Return the literal ``true`` or ``false``."""
        return conditions.Boolean(value=str(token) == 'true')

    def null(self) -> conditions.Null:
        """Return the literal ``none``."""
        return conditions.Null()

    def operator(self, token: lark.Token) -> conditions.Operator:
        """Return the comparison's operator."""
        return conditions.Operator(str(token))

    def comparison(
        self,
        column: conditions.ColumnName,
        operator: conditions.Operator,
        literal: conditions.Literal,
    ) -> conditions.Condition:
        """Return a comparison."""
        return conditions.Comparison(column, operator, literal)

    def like(
        self, column: conditions.ColumnName, pattern: str
    ) -> conditions.Condition:
        """Return a comparison with a pattern."""
        return conditions.Comparison(
            column, conditions.Operator.LIKE, conditions.Text(pattern)
        )

    def not_like(
        self, column: conditions.ColumnName, pattern: str
    ) -> conditions.Condition:
        """Return a negated comparison with a pattern."""
        return conditions.Not(self.like(column, pattern))

    def membership(
        self,
        column: conditions.ColumnName,
        *literals: conditions.Literal,
    ) -> conditions.Condition:
        """Return a test for membership in a list of literals."""
        return conditions.Membership(column, literals)

    def not_in(
        self,
        column: conditions.ColumnName,
        *literals: conditions.Literal,
    ) -> conditions.Condition:
        """Return a negated test for membership."""
        return conditions.Not(conditions.Membership(column, literals))

    def all_of(self, *parts: conditions.Condition) -> conditions.Condition:
        """Return a conjunction of conditions."""
        return conditions.AllOf(parts)

    def any_of(self, *parts: conditions.Condition) -> conditions.Condition:
        """Return a disjunction of conditions."""
        return conditions.AnyOf(parts)

    negation = conditions.Not


@lark.v_args(inline=True)
class QueryBuilder(_ConditionBuilder):
    """Builds the queries."""

    limit = int
    explain_request = queries.ExplainRequest

    def show(self, selection: queries.Show) -> queries.Show:
        """Return the query."""
        return selection

    def watch(
        self,
        selection: queries.Show,
        interval: conditions.Duration | None,
    ) -> queries.Watch:
        """Return the repeated query."""
        return queries.Watch(selection, interval or queries.DEFAULT_INTERVAL)

    def selection(
        self,
        collection: queries.Collection,
        scope: conditions.Condition | None,
        columns: tuple[conditions.ColumnName, ...] | None,
        where: conditions.Condition | None,
        *clauses: Any,
    ) -> queries.Show:
        """Return the query of a collection with its clauses."""
        order_by, limit = clauses
        if scope and where:
            where = conditions.AllOf((scope, where))
        return queries.Show(
            collection,
            columns or (),
            where or scope,
            order_by or (),
            limit,
        )

    def collection(self, token: lark.Token) -> queries.Collection:
        """Return the collection."""
        return queries.Collection(str(token))

    def scope(self, column: lark.Token, name: str) -> conditions.Condition:
        """Return the condition that ``for team registry`` abbreviates."""
        return conditions.Comparison(
            self.column(column),
            conditions.Operator.EQUAL,
            conditions.Text(name),
        )

    def columns(
        self, *columns: conditions.ColumnName
    ) -> tuple[conditions.ColumnName, ...]:
        """Return the columns."""
        return columns

    def order_by(self, *keys: queries.OrderBy) -> tuple[queries.OrderBy, ...]:
        """Return the sort keys."""
        return keys

    def sort_key(
        self,
        column: conditions.ColumnName,
        direction: lark.Token | None,
    ) -> queries.OrderBy:
        """Return a sort key."""
        return queries.OrderBy(column, descending=direction == 'desc')
