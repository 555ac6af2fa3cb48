"""Waits for the processes of the demo.

Usage: processes.py FOLDER line NAME FIELD
       processes.py FOLDER ready NAME URL

A process NAME prints one JSON line when it serves. FOLDER holds its output as
``NAME.out``, its log as ``NAME.err`` and its id as ``NAME.pid``. ``line`` prints
a field of that line, ``ready`` waits until a URL responds with 200. Exits with 1
if the process has ended, or is not so far within ``LIMIT_S``; the message names
it and shows the end of its log.
"""

import json
import pathlib
import sys
import time
from collections.abc import Callable
from typing import Any, TypeVar
from urllib import error, request

LIMIT_S = 60  # from the first question; a busy machine starts slowly
POLL_S = 0.05
_LOG_LINES = 5
_ENDED_STATES = frozenset('XZ')
_Found = TypeVar('_Found')


class ProcessFailedError(Exception):
    """A process has ended or did not get as far as it should in time."""


class Process:
    """A process of the demo.

    Args:
        folder: Where its output, its log and its id are.
        name: Its name.
        deadline: Until when it is waited for, by the monotonic clock.
    """

    def __init__(
        self, folder: pathlib.Path, name: str, deadline: float
    ) -> None:
        self._folder = folder
        self._name = name
        self._deadline = deadline

    def line(self) -> dict[str, Any]:
        """Return the JSON line that it prints when it serves.

        Raises:
            ProcessFailedError: If there will be none.
        """
        return self._wait(self._read_line, 'printed no line')

    def wait_until_ready(self, url: str) -> None:
        """Return once a URL of it responds with 200.

        Raises:
            ProcessFailedError: If it doesn't.
        """
        self._wait(lambda: _responds(url) or None, f'is not ready at {url}')

    def _wait(self, find: Callable[[], _Found | None], failure: str) -> _Found:
        while True:
            has_ended = self._has_ended()
            found = find()
            if found is not None:
                return found
            if has_ended:
                raise ProcessFailedError(self._describe('has ended'))
            if time.monotonic() >= self._deadline:
                raise ProcessFailedError(self._describe(failure))
            time.sleep(POLL_S)

    def _read_line(self) -> dict[str, Any] | None:
        path = self._folder / f'{self._name}.out'
        line, end, _ = path.read_text().partition('\n')
        return json.loads(line) if end else None

    def _has_ended(self) -> bool:
        pid = (self._folder / f'{self._name}.pid').read_text().strip()
        try:
            status = pathlib.Path(f'/proc/{pid}/stat').read_text()
        except (FileNotFoundError, ProcessLookupError):
            return True
        state = status.rpartition(')')[2].split()[0]
        return state in _ENDED_STATES

    def _describe(self, failure: str) -> str:
        path = self._folder / f'{self._name}.err'
        log = path.read_text().splitlines()[-_LOG_LINES:]
        head = f'{self._name} {failure}; its log ends with:'
        return '\n'.join((head, *log))


def make_deadline() -> float:
    """Return until when processes are waited for that were just started."""
    return time.monotonic() + LIMIT_S


def main(folder: str, task: str, name: str, subject: str) -> None:
    """Wait for a process as the usage says."""
    process = Process(pathlib.Path(folder), name, make_deadline())
    if task == 'ready':
        process.wait_until_ready(subject)
    else:
        field = process.line()[subject]
        sys.stdout.write(f'{field}\n')


def _responds(url: str) -> bool:
    try:
        with request.urlopen(url, timeout=1):
            return True
    except (error.URLError, TimeoutError):
        return False


if __name__ == '__main__':
    try:
        main(*sys.argv[1:])
    except ProcessFailedError as failed:
        sys.exit(str(failed))
