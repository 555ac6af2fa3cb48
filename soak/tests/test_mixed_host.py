"""The build that a host runs changes with each start."""

import pathlib
import sys

import pytest
from geranium_soak.mixed_host import SOURCES, next_is_older, use_checkout

ROOT = pathlib.Path(__file__).resolve().parents[2]


def test_build_changes_with_each_start(tmp_path: pathlib.Path) -> None:
    first, second = tmp_path / 'host-0.toml', tmp_path / 'host-1.toml'

    builds = [next_is_older(first) for _ in range(4)]

    assert builds == [True, False, True, False]
    assert next_is_older(second)


def test_product_code_comes_from_the_checkout_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(sys, 'path', ['elsewhere'])

    use_checkout(ROOT)

    sources = [str(ROOT / source) for source in SOURCES]
    assert sys.path == [*sources, 'elsewhere']


def test_folder_without_the_product_code_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    with pytest.raises(SystemExit, match='not a checkout'):
        use_checkout(tmp_path)
