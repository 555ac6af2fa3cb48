"""A host in a process of its own, and how much memory that holds."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import socket
import struct
import sys
from collections.abc import Iterator

from geranium_platform import PlatformSettings
from geranium_platform_standins import render_settings

MEMORY_MB = 200
MAX_FDS = 500
FILE_FDS = 200  # of the descriptors; sockets and pipes share the rest
KB = 1024


@dataclasses.dataclass(slots=True)
class Usage:
    """The most that a process has held at any sample."""

    memory_bytes: int = 0
    sockets: int = 0

    def add(self, other: 'Usage') -> None:
        """Take the greater numbers."""
        self.memory_bytes = max(self.memory_bytes, other.memory_bytes)
        self.sockets = max(self.sockets, other.sockets)


class LimitedHost:
    """A host in a process of its own, whose settings limit its memory."""

    def __init__(self, settings: PlatformSettings, folder: pathlib.Path):
        self._settings = settings
        self._path = folder / 'local.toml'
        self._log_path = folder / 'log'
        self._process: asyncio.subprocess.Process | None = None

    @property
    def addresses(self) -> dict[str, tuple[str, int]]:
        """The addresses that it listens on, by the names of the listeners."""
        listen = self._settings.listen
        ip = self._settings.ip
        return {
            'front': _address(listen.front),
            'directory': _address(listen.directory),
            'ready': _address(listen.ready),
            'metrics': (ip, listen.metrics_port),
            'peers': (ip, self._settings.internal_ports[0]),
        }

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process."""
        text = render_settings(self._settings)
        limits = f'[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {MAX_FDS}\n'
        self._path.write_text(text.replace('[limits]\n', limits))
        with self._log_path.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'geranium_platform',
                '--settings',
                str(self._path),
                stdout=log,
                stderr=log,
            )

    async def close(self) -> None:
        """End the process."""
        if self._process is not None and self.is_alive:
            self._process.kill()
            await self._process.wait()

    def log(self) -> str:
        """Return what the process has logged."""
        return self._log_path.read_text()

    def usage(self) -> Usage:
        """Return what the process holds now.

        Bytes that have been received and not been read yet are its memory.
        """
        inodes = frozenset(self._inodes('socket'))
        pipes = len(tuple(self._inodes('pipe')))
        unread = _unread_bytes(inodes, frozenset(self.addresses.values()))
        return Usage(self.resident_bytes('VmRSS') + unread, len(inodes) + pipes)

    def resident_bytes(self, field: str) -> int:
        """Return a size of the process: ``VmRSS`` now, ``VmHWM`` at most."""
        status = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith(f'{field}:'):
                return int(line.split()[1]) * KB
        raise AssertionError('the process has ended')

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    def _inodes(self, kind: str) -> Iterator[str]:
        for entry in pathlib.Path(f'/proc/{self.pid}/fd').iterdir():
            with contextlib.suppress(FileNotFoundError):
                name = os.readlink(entry)
                if name.startswith(f'{kind}:['):
                    yield name.partition('[')[2].rstrip(']')


def _address(text: str) -> tuple[str, int]:
    ip, _, port = text.rpartition(':')
    return ip, int(port)


def _unread_bytes(
    inodes: frozenset[str], addresses: frozenset[tuple[str, int]]
) -> int:
    """Return the bytes that wait at sockets, by inode or local address."""
    unread = 0
    sockets = pathlib.Path('/proc/net/tcp').read_text().splitlines()
    for line in sockets[1:]:
        fields = line.split()
        ip, _, port = fields[1].partition(':')
        packed = struct.pack('<I', int(ip, 16))
        local = (socket.inet_ntoa(packed), int(port, 16))
        is_listening = fields[3] == '0A'
        if not is_listening and (fields[9] in inodes or local in addresses):
            unread += int(fields[4].partition(':')[2], 16)
    return unread
