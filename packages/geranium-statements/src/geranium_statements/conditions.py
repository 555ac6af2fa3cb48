"""Conditions of a ``where`` clause."""

import dataclasses
import enum
import types
from collections.abc import Mapping
from decimal import Decimal
from typing import TypeAlias


class Operator(enum.Enum):
    """A comparison operator."""

    EQUAL = '='
    NOT_EQUAL = '!='
    LESS = '<'
    AT_MOST = '<='
    GREATER = '>'
    AT_LEAST = '>='
    LIKE = 'like'


@dataclasses.dataclass(frozen=True, slots=True)
class ColumnName:
    """A column name in a statement; ``==`` ignores its position."""

    name: str
    line: int = dataclasses.field(default=1, compare=False)
    column: int = dataclasses.field(default=1, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """A name or a quoted string."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Number:
    """A number as written, because ``1.10`` can be a version."""

    text: str

    @property
    def amount(self) -> float | int:
        """The numeric value."""
        try:
            return int(self.text)
        except ValueError:
            return float(self.text)


SECONDS_BY_UNIT: Mapping[str, Decimal] = types.MappingProxyType(
    {
        'us': Decimal('1e-6'),
        'ms': Decimal('1e-3'),
        's': Decimal('1'),
        'min': Decimal('60'),
        'h': Decimal('3600'),
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class Duration:
    """A duration such as ``500ms``: a number and a unit."""

    number: str
    unit: str

    @property
    def seconds(self) -> float:
        """The duration in seconds."""
        return self.amount_in('s')

    def amount_in(self, unit: str) -> float:
        """Return the duration in a unit; ``0.35s`` is exactly 350 ms."""
        duration_s = Decimal(self.number) * SECONDS_BY_UNIT[self.unit]
        return float(duration_s / SECONDS_BY_UNIT[unit])


@dataclasses.dataclass(frozen=True, slots=True)
class Boolean:
    """``true`` or ``false``."""

    value: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Null:
    """``none``: equal to an empty cell."""


Literal: TypeAlias = Text | Number | Duration | Boolean | Null


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """``column operator literal``."""

    column: ColumnName
    operator: Operator
    literal: Literal


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """``column in (literal, ...)``."""

    column: ColumnName
    literals: tuple[Literal, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AllOf:
    """``condition and condition ...``: true if all parts are true."""

    parts: tuple['Condition', ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AnyOf:
    """``condition or condition ...``: true if any part is true."""

    parts: tuple['Condition', ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Not:
    """``not condition``."""

    part: 'Condition'


Condition: TypeAlias = Comparison | Membership | AllOf | AnyOf | Not
