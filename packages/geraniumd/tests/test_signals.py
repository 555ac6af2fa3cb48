"""A daemon is ended by no signal, from its start to its end."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys

import pytest

MOMENTS = ('pydantic.version', 'aiohttp')  # imported early and late
WAIT_S = 40
LISTEN = {'listen': '127.0.0.1:0'}
SETTINGS = {
    'host': 'a-1',
    'zone': 'a',
    'region': 'r',
    'platform': {'address': '127.0.0.1:1'},
    'caller': LISTEN,
    'operator': LISTEN,
    'peer': LISTEN,
    'gateway': {'address_ttl_s': 0.1},
    'shutdown': {'linger_s': 0.2},
}


async def start(
    folder: pathlib.Path, module: str
) -> asyncio.subprocess.Process:
    """Start a daemon and return when it has imported a module."""
    path = folder / 'settings.json'
    path.write_text(json.dumps(SETTINGS))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-X',
        'importtime',
        '-m',
        'geraniumd_start',
        str(path),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={
            **os.environ,
            'GERANIUM_OPERATOR_TOKEN': 'operator',
            'GERANIUM_PEER_SECRET': 'peer',
        },
    )
    async for line in process.stderr:
        if line.decode().rpartition('|')[2].strip() == module:
            return process
    raise AssertionError(f'{module} was not imported')


# Signals ended daemons that were still importing their modules.
@pytest.mark.parametrize('moment', MOMENTS)
async def test_signals_during_the_start_are_acted_on(
    tmp_path: pathlib.Path, moment: str
) -> None:
    async with asyncio.timeout(WAIT_S):
        process = await start(tmp_path, moment)
        process.send_signal(signal.SIGUSR1)
        process.send_signal(signal.SIGTERM)

        _, logged = await process.communicate()

    assert process.returncode == 0
    assert b'{"state"' in logged
    assert b'"stopped"' in logged


# Signals that came while the daemon was ending gave it another exit status.
async def test_no_signal_ends_a_daemon_that_is_stopping(
    tmp_path: pathlib.Path,
) -> None:
    process = await start(tmp_path, 'aiohttp')
    waiting = asyncio.create_task(process.communicate())
    async with asyncio.timeout(WAIT_S):
        while not waiting.done():
            # `send_signal` would reap the process, unseen by the event loop.
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGTERM)
                os.kill(process.pid, signal.SIGINT)
            await asyncio.sleep(0.002)
    assert process.returncode == 0
