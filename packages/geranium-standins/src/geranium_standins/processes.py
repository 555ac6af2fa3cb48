"""Stand-ins in separate processes."""

import asyncio
import json
import os
import signal
import sys
from typing import Any

from .exceptions import LaunchError

START_TIMEOUT_S = 30


class StandinProcess:
    """A running stand-in.

    Args:
        process: The process.
        addresses: Decoded first line of its output.
    """

    def __init__(
        self,
        process: asyncio.subprocess.Process,
        addresses: dict[str, Any],
    ) -> None:
        self.address: str = addresses['address']
        self.addresses = addresses
        self._process = process

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def kill(self) -> None:
        """Kill the process."""
        self._process.kill()

    def freeze(self) -> None:
        """Stop the process until :meth:`thaw`."""
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process."""
        self._process.send_signal(signal.SIGCONT)

    async def wait(self) -> int:
        """Return the exit status once the process has ended."""
        return await self._process.wait()

    async def stop(self) -> int:
        """Stop the process with SIGTERM and return its exit status."""
        if self._process.returncode is None:
            self._process.terminate()
        return await self.wait()


async def launch(kind: str, *options: str) -> StandinProcess:
    """Start a stand-in and wait until it listens.

    Args:
        kind: The module: ``platform``, ``engine``, ``application``, ``relay``.
        options: Its command-line options.

    Raises:
        LaunchError: If it exits or does not print its address in time.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        f'geranium_standins.{kind}',
        *options,
        stdout=asyncio.subprocess.PIPE,
        env=os.environ,
    )
    try:
        addresses = await asyncio.wait_for(
            _read_first_line(process), START_TIMEOUT_S
        )
    except (TimeoutError, ValueError) as error:
        if process.returncode is None:
            process.kill()
        raise LaunchError(f'{kind} did not start') from error
    return StandinProcess(process, addresses)


async def _read_first_line(
    process: asyncio.subprocess.Process,
) -> dict[str, Any]:
    if process.stdout is None:
        raise ValueError('the standard output is not a pipe')
    addresses: dict[str, Any] = json.loads(await process.stdout.readline())
    return addresses
