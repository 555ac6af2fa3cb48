"""Tests collecting one request's records from several hosts' files."""

import pathlib

from click.testing import CliRunner
from geraniumctl.cli import main

FIRST = '{"host": "b", "request": "r1", "event": "ended", "timestamp": "T2"}'
OTHER = '{"host": "b", "request": "r2", "event": "ended", "timestamp": "T1"}'
SECOND = (
    '  12.5 a {"host": "a", "request": "r1", "wait_s": 0.5, '
    '"event": "dispatched", "timestamp": "T1"}'
)


def show(tmp_path: pathlib.Path, identity: str) -> tuple[int, str]:
    one = tmp_path / 'one'
    one.write_text(f'{FIRST}\n{OTHER}\n')
    other = tmp_path / 'other'
    other.write_text(f'noise\n{SECOND}\n{{')
    arguments = ['logs', identity, str(one), str(other)]
    shown = CliRunner().invoke(main, arguments)
    return shown.exit_code, shown.output


def test_records_of_all_hosts_are_sorted_by_time(
    tmp_path: pathlib.Path,
) -> None:
    code, output = show(tmp_path, 'r1')

    assert code == 0
    assert output.splitlines() == [
        'T1 a dispatched wait_s=0.5',
        'T2 b ended',
    ]


def test_unknown_request_is_an_error(tmp_path: pathlib.Path) -> None:
    code, output = show(tmp_path, 'r9')

    assert code == 1
    assert 'r9' in output
