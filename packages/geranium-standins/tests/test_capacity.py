"""The capacity measurements run with the current code."""

import json
import pathlib
import subprocess
import sys

import pytest

BENCHMARKS = pathlib.Path(__file__).parents[1] / 'benchmarks'
IN_PROCESS = ('lists', 'reach', 'surface')


@pytest.fixture(scope='module')
def figures(tmp_path_factory):
    path = tmp_path_factory.mktemp('capacity') / 'figures.json'
    options = [f'--only={name}' for name in IN_PROCESS]
    subprocess.run(
        (sys.executable, '-m', 'capacity', f'--json={path}', *options),
        cwd=BENCHMARKS,
        check=True,
    )
    return json.loads(path.read_text())


def test_every_figure_is_measured(figures):
    assert all(figure['measured'] > 0 for figure in figures)


def test_nine_daemons_reach_each_other(figures):
    shares = [
        figure['measured']
        for figure in figures
        if figure['group'].startswith('reach, 9 ') and figure['unit'] == '%'
    ]
    assert shares == [100, 100]


def test_sealed_window_fits_an_object(figures):
    sealed = [row for row in figures if row['group'] == 'usage']
    assert sealed[0]['measured'] < 1024 * 1024
