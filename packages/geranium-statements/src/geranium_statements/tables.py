"""Answers: tables of typed cells."""

import dataclasses
from collections.abc import Iterable
from typing import TypeAlias

Cell: TypeAlias = str | int | float | bool | None
Row: TypeAlias = tuple[Cell, ...]

TIME_UNITS = ('us', 'ms', 's')


@dataclasses.dataclass(frozen=True, slots=True)
class Column:
    """A column; a name that ends in ``_ms`` or ``_s`` holds times."""

    name: str

    @property
    def unit(self) -> str | None:
        """The unit of the times that it holds, ``None`` for other columns."""
        suffix = self.name.rpartition('_')[2]
        return suffix if suffix in TIME_UNITS else None


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Rows of cells under columns.

    Args:
        columns: The columns, in the order of each row's cells.
        rows: The rows.
        notes: Remarks for the operator, a sentence each.
        missing_hosts: Hosts whose part of the answer is missing.
    """

    columns: tuple[Column, ...]
    rows: tuple[Row, ...] = ()
    notes: tuple[str, ...] = ()
    missing_hosts: tuple[str, ...] = ()


def build_table(
    columns: Iterable[str],
    rows: Iterable[Iterable[Cell]] = (),
    notes: Iterable[str] = (),
) -> Table:
    """Return a table of columns that are given by name."""
    return Table(
        tuple(Column(name) for name in columns),
        tuple(tuple(row) for row in rows),
        tuple(notes),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class HostAnswer:
    """A host's part of an answer."""

    host: str
    table: Table


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """A host that did not answer, and why."""

    host: str
    reason: str


def merge(answers: Iterable[HostAnswer | NoAnswer]) -> Table:
    """Put the parts of several hosts into one table.

    Columns are united by name; a cell that a host has no column for is
    ``None``. Hosts that did not answer are named in the notes and in
    ``missing_hosts``.
    """
    parts = []
    notes = []
    missing_hosts = []
    for answer in answers:
        match answer:
            case HostAnswer(_, table):
                parts.append(table)
            case NoAnswer(host, reason):
                notes.append(f'{host} did not answer: {reason}')
                missing_hosts.append(host)
    return dataclasses.replace(
        _unite(parts),
        notes=(*_notes_of(parts), *notes),
        missing_hosts=tuple(missing_hosts),
    )


def _unite(tables: list[Table]) -> Table:
    columns = tuple(
        dict.fromkeys(column for table in tables for column in table.columns),
    )
    rows: list[Row] = []
    for table in tables:
        rows.extend(_rearranged(table, columns))
    return Table(columns, tuple(rows))


def _rearranged(table: Table, columns: tuple[Column, ...]) -> Iterable[Row]:
    if table.columns == columns:
        return table.rows
    names = [column.name for column in table.columns]
    by_name = [dict(zip(names, row, strict=True)) for row in table.rows]
    return [
        tuple(cells.get(column.name) for column in columns) for cells in by_name
    ]


def _notes_of(tables: list[Table]) -> tuple[str, ...]:
    return tuple(
        dict.fromkeys(note for table in tables for note in table.notes)
    )
