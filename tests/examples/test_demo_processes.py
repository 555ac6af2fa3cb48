"""The demo waits for the lines of all processes that it starts."""

import json
import pathlib
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from importlib import util

import pytest

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / 'examples'
ADDRESS = '127.0.0.1:9'
LINE = json.dumps({'address': ADDRESS})
LATE = (
    f'import time; time.sleep(1); print({LINE!r}, flush=True); time.sleep(60)'
)
BEGINNING, REST = LINE[:8], LINE[8:]
IN_PARTS = (
    f'print({BEGINNING!r}, end="", flush=True); import time; time.sleep(1); '
    f'print({REST!r}, flush=True); time.sleep(60)'
)
SILENT = 'import time; time.sleep(60)'
ENDS_AT_ONCE = 'import sys; sys.exit("no such model")'
Start = Callable[[str], None]


@pytest.fixture
def start(tmp_path: pathlib.Path) -> Iterator[Start]:
    """Start a program as a stand-in named ``engine-1``."""
    processes = []

    def start_program(program: str) -> None:
        base = tmp_path / 'engine-1'
        with (
            base.with_suffix('.out').open('w') as output,
            base.with_suffix('.err').open('w') as log,
        ):
            process = subprocess.Popen(
                [sys.executable, '-c', program], stdout=output, stderr=log
            )
        base.with_suffix('.pid').write_text(f'{process.pid}\n')
        processes.append(process)

    yield start_program
    for process in processes:
        process.kill()
        process.wait()


def run(program: str, *options: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, str(EXAMPLES / program), *options],
        capture_output=True,
        text=True,
        check=False,
    )


def read_configuration(
    folder: pathlib.Path,
) -> subprocess.CompletedProcess[str]:
    """Run the program that reads the addresses of all stand-ins."""
    configuration = folder / 'configuration.json'
    targets = [{'name': 'engine-1', 'address': ''}]
    configuration.write_text(json.dumps({'targets': targets}))
    return run('demo_configuration.py', str(configuration), str(folder))


@pytest.mark.parametrize('program', [LATE, IN_PARTS])
def test_line_that_comes_late_or_in_parts_is_waited_for(
    start: Start, tmp_path: pathlib.Path, program: str
) -> None:
    start(program)

    finished = read_configuration(tmp_path)

    assert finished.returncode == 0, finished.stderr
    printed = json.loads(finished.stdout)
    assert printed['targets'][0]['address'] == ADDRESS


def test_process_that_ends_at_once_fails_the_demo_with_its_name_and_log(
    start: Start, tmp_path: pathlib.Path
) -> None:
    start(ENDS_AT_ONCE)

    finished = read_configuration(tmp_path)

    assert finished.returncode == 1
    assert 'engine-1' in finished.stderr
    assert 'no such model' in finished.stderr
    assert 'Traceback' not in finished.stderr


def test_process_that_never_gets_ready_fails_the_demo_with_its_name(
    start: Start, tmp_path: pathlib.Path
) -> None:
    start(ENDS_AT_ONCE)

    finished = run(
        'processes.py', str(tmp_path), 'ready', 'engine-1', 'http://127.0.0.1:9'
    )

    assert finished.returncode == 1
    assert 'engine-1' in finished.stderr


def test_process_that_prints_nothing_is_named_at_the_deadline(
    start: Start, tmp_path: pathlib.Path
) -> None:
    path = EXAMPLES / 'processes.py'
    spec = util.spec_from_file_location('processes', path)
    processes = util.module_from_spec(spec)
    spec.loader.exec_module(processes)
    start(SILENT)

    process = processes.Process(tmp_path, 'engine-1', time.monotonic())
    with pytest.raises(processes.ProcessFailedError, match='engine-1 printed'):
        process.line()
