"""Conditions of a ``where`` clause."""

import dataclasses
import enum
import types
from collections.abc import Mapping
from decimal import Decimal
from typing import TypeAlias


class Operator(enum.Enum):
    """How a comparison relates a column to a literal."""

    EQUAL = '='
    NOT_EQUAL = '!='
    LESS = '<'
    AT_MOST = '<='
    GREATER = '>'
    AT_LEAST = '>='
    LIKE = 'like'


@dataclasses.dataclass(frozen=True, slots=True)
class ColumnName:
    """A column as a statement names it; its place does not count for ``==``."""

    name: str
    line: int = dataclasses.field(default=1, compare=False)
    column: int = dataclasses.field(default=1, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """A name or a quoted text."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Number:
    """A number, kept as it was written so that ``1.10`` stays a version."""

    text: str

    @property
    def amount(self) -> float | int:
        """The number's value."""
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
    """A length of time such as ``500ms``: a number and its unit."""

    number: str
    unit: str

    @property
    def seconds(self) -> float:
        """The length in seconds."""
        return self.amount_in('s')

    def amount_in(self, unit: str) -> float:
        """Return the length in another unit; ``0.35s`` is exactly 350 ms."""
        length = Decimal(self.number) * SECONDS_BY_UNIT[self.unit]
        return float(length / SECONDS_BY_UNIT[unit])


@dataclasses.dataclass(frozen=True, slots=True)
class Truth:
    """``true`` or ``false``."""

    truth: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Nothing:
    """``none``: equals a cell that holds nothing."""


Literal: TypeAlias = Text | Number | Duration | Truth | Nothing


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
    """``condition and condition ...``: each must hold."""

    parts: tuple['Condition', ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AnyOf:
    """``condition or condition ...``: one must hold."""

    parts: tuple['Condition', ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Not:
    """``not condition``."""

    part: 'Condition'


Condition: TypeAlias = Comparison | Membership | AllOf | AnyOf | Not
