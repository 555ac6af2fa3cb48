"""Prints results as a table, as JSON or as one JSON line per row."""

import json
import sys
from typing import Any

import click
from geranium_statements import Cell, Table
from geranium_statements.responses import table_to_json
from rich import box, console, table, text

from .settings import Output

_FILE_WIDTH = 10_000  # characters; no line is wrapped in a file


class Printer:
    """Prints results to the standard output, notes to the standard error.

    In JSON output the notes are part of the result.
    """

    def __init__(self, output: Output) -> None:
        self._output = output

    def print_table(self, result: Table) -> None:
        """Print the result of a statement."""
        match self._output:
            case Output.JSON:
                self.print_json(table_to_json(result))
            case Output.NDJSON:
                _print_lines(result)
                _print_notes(result)
            case Output.TABLE:
                _print_aligned(result)
                _print_notes(result)

    def print_json(self, document: Any) -> None:
        """Print a JSON value."""
        indent = None if self._output is Output.NDJSON else 2
        click.echo(json.dumps(document, indent=indent))

    def clear(self) -> None:
        """Clear the terminal before the next view of a ``watch``."""
        if self._output is Output.TABLE and sys.stdout.isatty():
            click.clear()


def _print_lines(result: Table) -> None:
    names = [column.name for column in result.columns]
    for row in result.rows:
        cells_by_name = dict(zip(names, row, strict=True))
        click.echo(json.dumps(cells_by_name))


def _print_notes(result: Table) -> None:
    for note in result.notes:
        click.echo(f'note: {note}', err=True)


def _print_aligned(result: Table) -> None:
    aligned = table.Table(box=box.SIMPLE_HEAD)
    for column in result.columns:
        aligned.add_column(text.Text(column.name), overflow='fold')
    for row in result.rows:
        aligned.add_row(*map(_render_cell, row))
    out = console.Console(file=sys.stdout, highlight=False)
    if not out.is_terminal:
        out.width = _FILE_WIDTH
    out.print(aligned)


def _render_cell(cell: Cell) -> text.Text:
    match cell:
        case None:
            return text.Text('-')
        case bool():
            return text.Text('yes' if cell else 'no')
        case _:
            return text.Text(str(cell))
