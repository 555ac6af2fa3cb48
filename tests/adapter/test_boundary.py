"""Only the adapter may contain names of the platform."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[2]
PLATFORM_NAMES = (
    'Deadline-Ms',
    'Duty-Holder',
    'Expect-Instance',
    'Fencing-Token',
    'GERANIUMDRUM_SETTINGS',
    'Kv-Source',
    'Not-Executed',
    'Prompt-Prefix',
    'Response-Signature',
    'Token-Usage',
    'kv-handle',
    'pathPrefix',
    'storeRevision',
    'targetGapMs',
)
SOURCES = tuple(ROOT.glob('packages/*/src/**/*.py'))


@pytest.mark.parametrize('name', PLATFORM_NAMES)
def test_product_does_not_contain_platform_names(name: str) -> None:
    whole = re.compile(rf'(?<![\w-]){name}')
    matching = [path for path in SOURCES if whole.search(path.read_text())]

    assert SOURCES
    assert not matching


def test_product_does_not_import_the_adapter() -> None:
    importing = [
        path for path in SOURCES if 'geranium_platform' in path.read_text()
    ]

    assert not importing


def test_folder_does_not_shadow_the_standard_library() -> None:
    assert not (ROOT / 'platform' / '__init__.py').exists()
