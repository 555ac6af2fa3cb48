"""Parser of the tables in the documentation pages."""

import pathlib
import re

DOCS = pathlib.Path(__file__).parents[3] / 'docs'


def read_rows(page):
    """Return the rows of all tables of a page as lists of cells."""
    lines = (DOCS / page).read_text().splitlines()
    return [
        [cell.strip() for cell in line.strip('|').split(' | ')]
        for line in lines
        if line.startswith('| `')
    ]


def names_in(cell):
    """Return the names in backticks in a cell."""
    return set(re.findall('`([^`]+)`', cell))
