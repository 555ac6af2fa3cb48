"""Sub-packages are imported only through their ``__init__``."""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parents[1]
DAEMON = ROOT / 'packages/geraniumd/src/geraniumd'
SUBPACKAGES = frozenset(
    path.parent.name for path in DAEMON.glob('*/__init__.py')
)
pytestmark = pytest.mark.usefixtures('paused_collection')


def internal_imports(path: pathlib.Path) -> list[str]:
    """Return imports of other sub-packages' modules."""
    level = len(path.relative_to(DAEMON).parts)
    return [
        node.module
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.ImportFrom)
        and node.level == level
        and '.' in (node.module or '')
    ]


@pytest.mark.parametrize(
    'path',
    sorted(DAEMON.rglob('*.py')),
    ids=lambda path: str(path.relative_to(DAEMON)),
)
def test_modules_import_other_sub_packages_from_their_init(
    path: pathlib.Path,
) -> None:
    assert not internal_imports(path)


@pytest.mark.parametrize('name', sorted(SUBPACKAGES))
def test_all_lists_every_import_of_the_init(name: str) -> None:
    tree = ast.parse((DAEMON / name / '__init__.py').read_text())
    imported = {
        alias.name
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        for alias in node.names
    }
    exported = next(
        ast.literal_eval(node.value)
        for node in tree.body
        if isinstance(node, ast.Assign)
    )
    assert set(exported) == imported
