"""Tests the statements in the documentation against the parser."""

import pathlib
import re
import typing

import pytest
from geranium_statements import (
    Change,
    Collection,
    Query,
    Show,
    Watch,
    commands,
    orders,
)
from geranium_statements.exceptions import StatementError
from geranium_statements.parsing import parse_statement
from geranium_statements.rendering import render_error

DOCS = pathlib.Path(__file__).parents[3] / 'docs'
PAGE = DOCS / 'STATEMENTS.md'


def _examples(page):
    blocks = re.findall(r'```statement\n(.*?)```', page.read_text(), re.S)
    return ''.join(blocks).splitlines()


EXAMPLES = _examples(PAGE)
PROCEDURES = _examples(DOCS / 'OPERATIONS.md')


@pytest.mark.parametrize('example', EXAMPLES + PROCEDURES)
def test_example_parses(example):
    assert parse_statement(example)


def test_documented_error_matches_the_parser():
    shown = re.search(r'```answer\n(set role .*?)\n```', PAGE.read_text(), re.S)
    text = shown.group(1).splitlines()[0]
    with pytest.raises(StatementError) as caught:
        parse_statement(text)
    assert render_error(caught.value, text) == shown.group(1)


def test_every_statement_type_has_an_example():
    parsed = [parse_statement(example) for example in EXAMPLES]
    shown = {type(statement) for statement in parsed}
    changed = {
        type(change.command) for change in parsed if isinstance(change, Change)
    }
    assert shown == {
        Change,
        *typing.get_args(Query),
        *typing.get_args(orders.Order),
    }
    assert changed == set(typing.get_args(commands.Command))


def test_every_collection_has_an_example():
    parsed = [parse_statement(example) for example in EXAMPLES]
    shows = [show for show in parsed if isinstance(show, Show)]
    views = [view.show for view in parsed if isinstance(view, Watch)]
    assert {show.collection for show in (*shows, *views)} == set(Collection)
