"""A process of a host is ended by no signal, from its start to its end."""

import asyncio
import contextlib
import itertools
import os
import pathlib
import signal
import sys
from collections.abc import AsyncIterator

import pytest
from geranium_platform_standins import render_settings

from .conftest import make_settings

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAMS = {
    'serve': (str(ROOT / 'platform' / 'serve.py'),),
    # What the installed command runs.
    'command': ('-c', 'from geranium_platform_start import main; main()'),
}
MOMENTS = ('pydantic.version', 'aiohttp')  # imported early and late
HANDLED = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
WAIT_S = 40
NO_STORE = '127.0.0.1:1'


class HostProcess:
    """A process that shows on standard error which modules it imports."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self._imports = process.stderr
        self._log = process.stdout

    async def wait_for_import(self, module: str) -> None:
        async with asyncio.timeout(WAIT_S):
            async for line in self._imports:
                if line.decode().rpartition('|')[2].strip() == module:
                    return
        raise AssertionError(f'{module} was not imported')

    async def wait_for_event(self, event: str) -> None:
        async with asyncio.timeout(WAIT_S):
            async for line in self._log:
                if f'"event": "{event}"' in line.decode():
                    return
        raise AssertionError(f'{event} was not logged')

    def send(self, *numbers: signal.Signals) -> None:
        # The method of the process would reap it, unseen by the event loop.
        for number in numbers:
            os.kill(self.process.pid, number)

    async def wait(self) -> tuple[int | None, str]:
        """Return the exit status and the rest of the log."""
        async with asyncio.timeout(WAIT_S):
            logged, _ = await self.process.communicate()
        return self.process.returncode, logged.decode()


@pytest.fixture(params=PROGRAMS.values(), ids=PROGRAMS.keys())
async def host(
    request: pytest.FixtureRequest, tmp_path: pathlib.Path
) -> AsyncIterator[HostProcess]:
    settings = make_settings(platform={'address': NO_STORE})
    bounds = settings.bounds.model_copy(update={'grace_s': 0.7})
    path = tmp_path / 'local.toml'
    path.write_text(
        render_settings(settings.model_copy(update={'bounds': bounds}))
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-X',
        'importtime',
        *request.param,
        '--settings',
        str(path),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    yield HostProcess(process)
    with contextlib.suppress(ProcessLookupError):
        process.kill()
    await process.wait()


# review/5: SIGHUP ended processes that were still importing their modules.
@pytest.mark.parametrize('moment', MOMENTS)
async def test_signal_for_settings_during_the_start_is_acted_on(
    host: HostProcess, moment: str
) -> None:
    await host.wait_for_import(moment)
    host.send(signal.SIGHUP)

    await host.wait_for_event('reload_asked')
    host.send(signal.SIGTERM)

    status, logged = await host.wait()
    assert status == 0
    assert '"leaving"' in logged


@pytest.mark.parametrize('moment', MOMENTS)
@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT], ids=str)
async def test_stop_during_the_start_takes_no_requests(
    host: HostProcess, moment: str, number: signal.Signals
) -> None:
    await host.wait_for_import(moment)
    host.send(number, signal.SIGHUP)

    status, logged = await host.wait()

    assert status == 0
    assert '"stopped"' in logged
    assert '"leaving"' not in logged


# Signals that came while the process was ending gave it another exit status.
async def test_no_signal_ends_a_process_that_is_stopping(
    host: HostProcess,
) -> None:
    await host.wait_for_event('started')
    waiting = asyncio.create_task(host.wait())
    for number in itertools.cycle(HANDLED):
        with contextlib.suppress(ProcessLookupError):
            host.send(number)
        await asyncio.sleep(0.002)
        if waiting.done():
            break

    status, logged = await waiting
    assert status == 0
    assert logged.count('"leaving"') <= 1
