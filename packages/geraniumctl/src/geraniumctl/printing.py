"""Prints answers as a table, as JSON or as a line of JSON for each row."""

import json
import sys
from typing import Any

import click
from geranium_statements import Cell, Table
from geranium_statements.answers import table_to_json
from rich import box, console, table, text

from .settings import Output

_FILE_WIDTH = 10_000


class Printer:
    """Prints answers to the standard output, notes to the standard error.

    With JSON the notes are part of the answer.
    """

    def __init__(self, output: Output) -> None:
        self._output = output

    def print_table(self, answer: Table) -> None:
        """Print the answer to a statement."""
        match self._output:
            case Output.JSON:
                self.print_json(table_to_json(answer))
            case Output.NDJSON:
                _print_lines(answer)
                _print_notes(answer)
            case Output.TABLE:
                _print_aligned(answer)
                _print_notes(answer)

    def print_json(self, document: Any) -> None:
        """Print any JSON value."""
        indent = None if self._output is Output.NDJSON else 2
        click.echo(json.dumps(document, indent=indent))

    def clear(self) -> None:
        """Clear the terminal before a repeated view."""
        if self._output is Output.TABLE and sys.stdout.isatty():
            click.clear()


def _print_lines(answer: Table) -> None:
    names = [column.name for column in answer.columns]
    for row in answer.rows:
        cells_by_name = dict(zip(names, row, strict=True))
        click.echo(json.dumps(cells_by_name))


def _print_notes(answer: Table) -> None:
    for note in answer.notes:
        click.echo(f'note: {note}', err=True)


def _print_aligned(answer: Table) -> None:
    aligned = table.Table(box=box.SIMPLE_HEAD)
    for column in answer.columns:
        aligned.add_column(text.Text(column.name), overflow='fold')
    for row in answer.rows:
        aligned.add_row(*map(_rendered, row))
    out = console.Console(file=sys.stdout, highlight=False)
    if not out.is_terminal:
        out.width = _FILE_WIDTH
    out.print(aligned)


def _rendered(cell: Cell) -> text.Text:
    match cell:
        case None:
            return text.Text('-')
        case bool():
            return text.Text('yes' if cell else 'no')
        case _:
            return text.Text(str(cell))
