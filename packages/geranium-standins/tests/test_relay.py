"""The relay's faults between two processes."""

import asyncio
import contextlib
import time

import pytest
from geranium_standins import launch
from geranium_standins.relay_server import Relay

TIMEOUT_S = 20


async def echo(reader, writer):
    while line := await reader.readline():
        writer.write(line)
    writer.close()


class Caller:
    """Sends lines over one connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address):
        host, port = address.split(':')
        return cls(*await asyncio.open_connection(host, int(port)))

    async def ask(self, line):
        if line:
            self.writer.write(line)
        async with asyncio.timeout(TIMEOUT_S):
            return await self.reader.readline()

    async def is_unanswered(self, line):
        self.writer.write(line)
        try:
            await asyncio.wait_for(self.reader.readline(), timeout=0.3)
        except TimeoutError:
            return True
        return False


@pytest.fixture
async def relay(serve):
    """Return a relay to an echo server, with its control client."""
    server = await asyncio.start_server(echo, '127.0.0.1', 0)
    relay = Relay(*server.sockets[0].getsockname())
    address = await relay.start('127.0.0.1', 0)
    control = await serve(relay.create_app())
    with contextlib.closing(server):
        yield address, control
        await relay.stop()


async def test_bytes_pass_and_the_end_of_the_stream_too(relay):
    address, _ = relay
    caller = await Caller.connect(address)
    assert await caller.ask(b'one\n') == b'one\n'
    caller.writer.write_eof()
    assert await caller.ask(b'') == b''


async def test_silent_link_stays_silent_and_new_ones_work(relay):
    address, control = relay
    old = await Caller.connect(address)
    assert await old.ask(b'one\n') == b'one\n'
    await control.set_faults(mode='silent')
    assert await old.is_unanswered(b'two\n')
    new = await Caller.connect(address)
    assert await new.ask(b'three\n') == b'three\n'
    await control.set_faults(mode='pass')
    assert await old.is_unanswered(b'four\n')
    assert (await control.get('/stats')).json() == {
        'connections': 2,
        'silent': 1,
    }


async def test_held_bytes_are_delivered_late_and_in_order(relay):
    address, control = relay
    caller = await Caller.connect(address)
    await control.set_faults(mode='hold')
    assert await caller.is_unanswered(b'one\n')
    caller.writer.write(b'two\n')
    await control.set_faults(mode='pass')
    assert await caller.ask(b'three\n') == b'one\n'
    assert await caller.ask(b'') == b'two\n'
    assert await caller.ask(b'') == b'three\n'


async def test_drop_resets_links_and_new_ones(relay):
    address, control = relay
    old = await Caller.connect(address)
    assert await old.ask(b'one\n') == b'one\n'
    await control.set_faults(mode='drop')
    with pytest.raises(ConnectionResetError):
        await old.ask(b'')
    new = await Caller.connect(address)
    with pytest.raises(ConnectionResetError):
        await new.ask(b'two\n')
    await control.set_faults(mode='pass')
    newest = await Caller.connect(address)
    assert await newest.ask(b'three\n') == b'three\n'


async def test_delay_holds_in_each_direction(relay):
    address, control = relay
    await control.set_faults(delay_ms=150)
    caller = await Caller.connect(address)
    started_at = time.monotonic()
    assert await caller.ask(b'one\n') == b'one\n'
    taken_ms = (time.monotonic() - started_at) * 1000
    assert round(taken_ms) >= 300


async def test_relay_process_prints_both_addresses(serve):
    server = await asyncio.start_server(echo, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    with contextlib.closing(server):
        process = await launch('relay', '--to', f'{host}:{port}')
        caller = await Caller.connect(process.address)
        assert await caller.ask(b'one\n') == b'one\n'
        assert ':' in process.addresses['control']
        assert await process.stop() == 0
