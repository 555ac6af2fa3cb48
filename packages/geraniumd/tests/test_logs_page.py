"""Checks that ``docs/LOGS.md`` matches the log calls in the code."""

import ast
import dataclasses
import pathlib
from collections import defaultdict

import geraniumd
import pytest
from geraniumd.hosts import Presence
from geraniumd.process import LEVELS_BY_NAME

from .page_tables import names_in, read_rows

LEVELS_BY_METHOD = {name: name for name in LEVELS_BY_NAME}
LEVELS_BY_METHOD['exception'] = 'error'
SOURCES = pathlib.Path(geraniumd.__file__).parent
pytestmark = pytest.mark.usefixtures('paused_collection')


def logged_calls():
    for path in SOURCES.rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and _is_log_call(node):
                yield node


def _is_log_call(call):
    function = call.func
    return (
        isinstance(function, ast.Attribute)
        and function.attr in LEVELS_BY_METHOD
        and ast.unparse(function.value).endswith('log')
    )


def test_page_lists_exactly_the_logged_events():
    fields_by_event = defaultdict(set)
    levels_by_event = defaultdict(set)
    for call in logged_calls():
        event = ast.literal_eval(call.args[0])
        levels_by_event[event].add(LEVELS_BY_METHOD[call.func.attr])
        for keyword in call.keywords:
            fields_by_event[event].add(keyword.arg)
    assert fields_by_event['ready'] == {None}
    fields_by_event['ready'] = {
        field.name for field in dataclasses.fields(Presence)
    }
    logged = {
        event: (levels, fields_by_event[event])
        for event, levels in levels_by_event.items()
    }
    listed = {
        event.strip('`'): ({level}, names_in(fields))
        for event, level, fields, _ in read_rows('LOGS.md')
    }
    assert listed == logged
