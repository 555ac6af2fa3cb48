"""Tables of typed cells, the results of statements."""

import dataclasses
from collections.abc import Iterable
from typing import TypeAlias

Cell: TypeAlias = str | int | float | bool | None
Row: TypeAlias = tuple[Cell, ...]

TIME_UNITS = ('us', 'ms', 's')


@dataclasses.dataclass(frozen=True, slots=True)
class Column:
    """A column; the suffix ``_us``, ``_ms`` or ``_s`` is its time unit."""

    name: str

    @property
    def unit(self) -> str | None:
        """The time unit of its cells, ``None`` if they are not times."""
        suffix = self.name.rpartition('_')[2]
        return suffix if suffix in TIME_UNITS else None


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Rows of cells with named columns.

    Args:
        columns: The columns, in the order of the cells of a row.
        rows: The rows.
        notes: Notes for the operator, one sentence each.
        missing_hosts: Hosts whose rows are missing.
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
    """Return a table with columns of these names."""
    return Table(
        tuple(Column(name) for name in columns),
        tuple(tuple(row) for row in rows),
        tuple(notes),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class HostResponse:
    """A host's response to a query."""

    host: str
    table: Table


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """A host that did not respond, and the reason."""

    host: str
    reason: str


def merge_responses(responses: Iterable[HostResponse | NoResponse]) -> Table:
    """Merge the responses of several hosts into one table.

    The result has the columns of all tables; cells of columns that a host
    lacks are ``None``. Hosts that did not respond are listed in the notes and
    in ``missing_hosts``.
    """
    parts = []
    notes = []
    missing_hosts = []
    for response in responses:
        match response:
            case HostResponse(_, table):
                parts.append(table)
            case NoResponse(host, reason):
                notes.append(f'{host} did not answer: {reason}')
                missing_hosts.append(host)
    return dataclasses.replace(
        _concatenate(parts),
        notes=(*_notes_of(parts), *notes),
        missing_hosts=tuple(missing_hosts),
    )


def _concatenate(tables: list[Table]) -> Table:
    columns = tuple(
        dict.fromkeys(column for table in tables for column in table.columns),
    )
    rows: list[Row] = []
    for table in tables:
        rows.extend(_reordered_rows(table, columns))
    return Table(columns, tuple(rows))


def _reordered_rows(table: Table, columns: tuple[Column, ...]) -> Iterable[Row]:
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
