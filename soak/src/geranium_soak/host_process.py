"""Supervision of the host processes under test."""

import asyncio
import collections
import dataclasses
import os
import pathlib
import signal
import sys
from collections.abc import Mapping, Sequence

from geranium_platform import PlatformSettings
from geranium_platform_standins import (
    free_ports,
    render_settings,
)

from .observations import Ledger, now

RESTART_DELAY_S = 0.3  # from the exit of a process to the start of the next
STOP_TIMEOUT_S = 15  # beyond the hosts' grace period, for slow machines
FIRST_START = 'bootstrap = true'
LATER_START = 'bootstrap = false'
INHERITED = ('PATH', 'HOME', 'LANG')


@dataclasses.dataclass(frozen=True, slots=True)
class HostSpec:
    """The addresses and the program of a host.

    Args:
        name: Name of the host.
        zone: Availability zone of the host.
        address: IP address of the host.
        front: Address for callers.
        ready: Address of the readiness check.
        directory: Address that resolves the hosts for callers.
        peers_port: Port for other hosts.
        metrics_port: Port of the metrics.
        program: Arguments of the interpreter, before the host's options.
    """

    name: str
    zone: str
    address: str
    front: str
    ready: str
    directory: str
    peers_port: int
    metrics_port: int
    program: Sequence[str]


def allocate_host(
    number: int,
    zone: str,
    address: str,
    program: Sequence[str],
) -> HostSpec:
    """Return the spec of a host at an address that nothing else uses.

    No outgoing connection uses it either, so none can take the ports while the
    host is down.
    """
    ports = free_ports(5, address)
    return HostSpec(
        f'host-{number}',
        zone,
        address,
        f'{address}:{ports[0]}',
        f'{address}:{ports[1]}',
        f'{address}:{ports[2]}',
        ports[3],
        ports[4],
        program,
    )


class HostProcess:
    """Supervises one host; each process of it is an incarnation.

    Args:
        spec: Addresses and program of the host.
        folder: Folder for the settings file and the log.
        ledger: Records when the process was down or suspended.
    """

    def __init__(
        self,
        spec: HostSpec,
        folder: pathlib.Path,
        ledger: Ledger,
    ) -> None:
        self.spec = spec
        self.incarnation = 0
        self.unexpected_exits: list[int] = []
        self.settings_path = folder / f'{spec.name}.toml'
        self._log_path = folder / f'{spec.name}.log'
        self._ledger = ledger
        self._expected_exits = 0
        self._ongoing_disruptions: collections.deque[
            tuple[str, bool, float]
        ] = collections.deque()
        self._process: asyncio.subprocess.Process | None = None
        self._supervisor: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """The host's name."""
        return self.spec.name

    async def start(self, settings: Mapping[str, object]) -> None:
        """Write the settings file and start the supervised process."""
        checked = PlatformSettings.model_validate(settings)
        self.settings_path.write_text(render_settings(checked))
        await self._launch()
        self._supervisor = asyncio.create_task(self._supervise())

    def append_setting(self, line: str) -> None:
        """Add a line at the head of the settings file."""
        text = self.settings_path.read_text()
        self._replace_settings(f'{line}\n{text}')

    def kill(self) -> None:
        """Kill the process; the supervisor restarts it."""
        self._begin_disruption('killed', planned=False)
        self._expected_exits += 1
        self._signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Send SIGTERM to the process; the supervisor restarts it."""
        self._begin_disruption('stopped', planned=True)
        self._expected_exits += 1
        self._signal(signal.SIGTERM)

    def signal_stopping(self, number: signal.Signals) -> bool:
        """Send a further signal to a process that is being stopped.

        Returns:
            Whether it was still there.
        """
        return self._signal(number)

    def reload(self) -> None:
        """Send SIGHUP, on which the process reloads its settings."""
        self._signal(signal.SIGHUP)

    async def pause(self, for_s: float) -> None:
        """Suspend the process for ``for_s`` seconds."""
        began_at = now()
        self._signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(for_s)
        finally:
            self._signal(signal.SIGCONT)
            self._ledger.record_disruption('paused', self.name, began_at)

    async def close(self) -> int | None:
        """Stop the host without a restart and return its exit code.

        ``None`` means that no process ran or that it had to be killed.
        """
        if self._supervisor is not None:
            self._supervisor.cancel()
        process = self._process
        if process is None:
            return None
        self._signal(signal.SIGCONT)
        self._signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await process.wait()
        except TimeoutError:
            self._signal(signal.SIGKILL)
            await process.wait()
            return None

    async def _supervise(self) -> None:
        while True:
            if self._process is not None:
                code = await self._process.wait()
                if self._expected_exits:
                    self._expected_exits = 0
                else:
                    self.unexpected_exits.append(code)
            await asyncio.sleep(RESTART_DELAY_S)
            # Only the first process of a host may bootstrap the system.
            text = self.settings_path.read_text()
            self._replace_settings(text.replace(FIRST_START, LATER_START))
            await self._launch()
            self._end_disruptions()

    async def _launch(self) -> None:
        environment = {
            name: os.environ[name] for name in INHERITED if name in os.environ
        }
        with self._log_path.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.spec.program,
                '--settings',
                str(self.settings_path),
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.incarnation += 1
        self._ledger.incarnation_by_host[self.name] = self.incarnation

    def _replace_settings(self, text: str) -> None:
        temporary = self.settings_path.with_suffix('.new')
        temporary.write_text(text)
        temporary.replace(self.settings_path)

    def _signal(self, number: signal.Signals) -> bool:
        """Send a signal and return whether a process was there."""
        if self._process is None or self._process.returncode is not None:
            return False
        self._process.send_signal(number)
        return True

    def _begin_disruption(self, what: str, *, planned: bool) -> None:
        self._ongoing_disruptions.append((what, planned, now()))

    def _end_disruptions(self) -> None:
        while self._ongoing_disruptions:
            what, planned, began_at = self._ongoing_disruptions.popleft()
            self._ledger.record_disruption(
                what,
                self.name,
                began_at,
                planned=planned,
            )
