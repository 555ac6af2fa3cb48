"""Reads the tables of the project's pages."""

import pathlib
import re

DOCS = pathlib.Path(__file__).parents[3] / 'docs'


def read_rows(page):
    """Return the rows of a page's tables, as lists of cells."""
    lines = (DOCS / page).read_text().splitlines()
    return [
        [cell.strip() for cell in line.strip('|').split(' | ')]
        for line in lines
        if line.startswith('| `')
    ]


def names_in(cell):
    """Return what a cell names in backticks."""
    return set(re.findall('`([^`]+)`', cell))
