"""Child processes that print their addresses as JSON once they listen."""

import asyncio
import json
import pathlib
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

import aiohttp

START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 30
_POLL_S = 0.02


class ProcessError(Exception):
    """A process was not started or failed to start."""


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    timeout_s: float = START_TIMEOUT_S,
) -> None:
    """Return once the condition holds.

    Raises:
        TimeoutError: If the condition does not hold within the timeout.
    """
    async with asyncio.timeout(timeout_s):
        while True:
            if await condition():
                return
            await asyncio.sleep(_POLL_S)


class ManagedProcess:
    """A named child process.

    Its standard error goes to ``NAME.err`` in the folder. ``addresses`` holds
    the addresses that it printed.
    """

    def __init__(self, name: str, folder: pathlib.Path) -> None:
        self.name = name
        self.log_path = folder / f'{name}.err'
        self.addresses: Mapping[str, str] = {}
        self._process: asyncio.subprocess.Process | None = None

    @property
    def url(self) -> str:
        """Return the base URL of a stand-in."""
        address = self.addresses['address']
        return f'http://{address}'

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Return the process id.

        Raises:
            ProcessError: If the process was not started.
        """
        if self._process is None:
            raise ProcessError(f'{self.name} was not started')
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, ``None`` while the process runs."""
        return self._process.returncode if self._process else None

    async def start(
        self,
        arguments: Sequence[str],
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """Start ``python -m ARGUMENTS`` and wait until it listens.

        Raises:
            ProcessError: If it exits or does not listen in time.
        """
        with self.log_path.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env=environment,
            )
        line = await _read_first_line(self.name, self._process)
        self.addresses = _parse_addresses(self.name, line)

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.send(signal.SIGKILL)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process."""
        self.send(signal.SIGCONT)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Return the exit code once the process has ended."""
        if self._process is None:
            raise ProcessError(f'{self.name} was not started')
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self._process.wait()

    async def stop(self) -> None:
        """Stop the process; resume it first and kill it on timeout."""
        if not self.is_running:
            return
        self.thaw()
        self.send(signal.SIGTERM)
        try:
            await self.wait()
        except TimeoutError:
            self.kill()
            await self.wait()

    def log(self) -> list[dict[str, Any]]:
        """Return the JSON events that the process has logged."""
        lines = self.log_path.read_text(errors='replace').splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    async def put_faults(self, **switches: Any) -> None:
        """Replace the fault switches of a stand-in."""
        async with aiohttp.ClientSession(raise_for_status=True) as session:
            async with session.put(f'{self.url}/faults', json=switches):
                return

    async def read_log(self) -> Any:
        """Return the log of a stand-in."""
        async with aiohttp.ClientSession(raise_for_status=True) as session:
            async with session.get(f'{self.url}/log') as response:
                return await response.json()


async def _read_first_line(
    name: str,
    process: asyncio.subprocess.Process,
) -> bytes:
    if process.stdout is None:
        raise ProcessError(f'{name} has no output')
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            return await process.stdout.readline()
    except TimeoutError:
        raise ProcessError(f'{name} did not start') from None


def _parse_addresses(name: str, line: bytes) -> Mapping[str, str]:
    try:
        addresses = json.loads(line)
    except ValueError:
        raise ProcessError(f'{name} printed {line!r}') from None
    if not isinstance(addresses, dict):
        raise ProcessError(f'{name} printed {line!r}')
    return addresses
