"""Checks that the tests listed in ``docs/INVARIANTS.md`` exist."""

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[3]
PAGE = ROOT / 'docs' / 'INVARIANTS.md'
TEST_ID = re.compile(r'`((?:packages|tests)/[\w/.-]+\.py)::(test_\w+)`')
SCENARIO = re.compile(r'Scenario(?: Outline)?: (.+)')
pytestmark = pytest.mark.usefixtures('paused_collection')


def scenario_test(title):
    """Return the test name that pytest-bdd generates for a scenario."""
    return 'test_{}'.format(
        re.sub(r'\W|^(?=\d)', '', title.strip().replace(' ', '_')).lower()
    )


def defined_tests(path):
    """Return the tests of a file, including those of its feature files."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(node.name)
        elif isinstance(node, ast.Constant) and str(node.value).endswith(
            '.feature'
        ):
            feature = (path.parent / str(node.value)).read_text()
            names.update(map(scenario_test, SCENARIO.findall(feature)))
    return names


LISTED_TESTS = sorted(set(TEST_ID.findall(PAGE.read_text())))


def test_page_lists_tests():
    assert LISTED_TESTS


@pytest.mark.parametrize(('path', 'name'), LISTED_TESTS)
def test_listed_test_exists(path, name):
    assert name in defined_tests(ROOT / path)
