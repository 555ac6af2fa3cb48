"""Builds queries from the grammar's parse trees.

Each method or class attribute is called like a rule of ``statements.lark``
and takes what the rule's parts were built into.
"""

import json
import re
from typing import Any

import lark

from . import conditions, queries


@lark.v_args(inline=True)
class _WordBuilder(lark.Transformer[lark.Token, Any]):
    """Names, numbers and the like."""

    name = str
    text = str
    version = str
    address = str
    path = str
    service = str

    def STRING(self, token: lark.Token) -> lark.Token:
        """Return the token with its quotes and escapes resolved."""
        quoted = str(token)
        if quoted.startswith('"'):
            return lark.Token.new_borrow_pos(
                token.type, json.loads(quoted), token
            )
        return lark.Token.new_borrow_pos(token.type, quoted[1:-1], token)

    def column(self, token: lark.Token) -> conditions.ColumnName:
        """Return the column with its place in the statement."""
        return conditions.ColumnName(
            str(token), token.line or 1, token.column or 1
        )

    def duration(self, token: lark.Token) -> conditions.Duration:
        """Split a duration into its number and its unit."""
        number, unit = re.split('(?=[a-z])', token, maxsplit=1)
        return conditions.Duration(number, unit)

    def milliseconds(self, token: lark.Token) -> int:
        """Return a duration in whole milliseconds."""
        return round(self.duration(token).amount_in('ms'))

    def amount(self, token: lark.Token) -> float | int:
        """Return the number."""
        return conditions.Number(str(token)).amount


@lark.v_args(inline=True)
class _ConditionBuilder(_WordBuilder):
    """The ``where`` clause."""

    def number(self, token: lark.Token) -> conditions.Number:
        """Return the number as it was written."""
        return conditions.Number(str(token))

    def literal(self, built: object) -> object:
        """Return the literal; what is still a text becomes one."""
        return conditions.Text(built) if isinstance(built, str) else built

    def truth(self, token: lark.Token) -> conditions.Truth:
        """Return the literal ``true`` or ``false``."""
        return conditions.Truth(truth=str(token) == 'true')

    def nothing(self) -> conditions.Nothing:
        """Return the literal ``none``."""
        return conditions.Nothing()

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

    def unlike(
        self, column: conditions.ColumnName, pattern: str
    ) -> conditions.Condition:
        """Return a negated comparison with a pattern."""
        return conditions.Not(self.like(column, pattern))

    def membership(
        self,
        column: conditions.ColumnName,
        *literals: conditions.Literal,
    ) -> conditions.Condition:
        """Return a test for one of several literals."""
        return conditions.Membership(column, literals)

    def exclusion(
        self,
        column: conditions.ColumnName,
        *literals: conditions.Literal,
    ) -> conditions.Condition:
        """Return a test for none of several literals."""
        return conditions.Not(conditions.Membership(column, literals))

    def all_of(self, *parts: conditions.Condition) -> conditions.Condition:
        """Return a conjunction."""
        return conditions.AllOf(parts)

    def any_of(self, *parts: conditions.Condition) -> conditions.Condition:
        """Return a disjunction."""
        return conditions.AnyOf(parts)

    negation = conditions.Not


@lark.v_args(inline=True)
class QueryBuilder(_ConditionBuilder):
    """The queries."""

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
        narrowing: conditions.Condition | None,
        columns: tuple[conditions.ColumnName, ...] | None,
        where: conditions.Condition | None,
        *clauses: Any,
    ) -> queries.Show:
        """Return what is selected from a collection."""
        order_by, limit = clauses
        if narrowing and where:
            where = conditions.AllOf((narrowing, where))
        return queries.Show(
            collection,
            columns or (),
            where or narrowing,
            order_by or (),
            limit,
        )

    def collection(self, token: lark.Token) -> queries.Collection:
        """Return the collection."""
        return queries.Collection(str(token))

    def narrowing(self, column: lark.Token, name: str) -> conditions.Condition:
        """Return the condition that ``for team registry`` stands for."""
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
