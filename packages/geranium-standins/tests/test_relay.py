"""Fault injection by the relay."""

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

    async def send_line(self, line):
        if line:
            self.writer.write(line)
        async with asyncio.timeout(TIMEOUT_S):
            return await self.reader.readline()

    async def gets_no_response(self, line):
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


async def test_bytes_and_end_of_stream_are_forwarded(relay):
    address, _ = relay
    caller = await Caller.connect(address)
    assert await caller.send_line(b'one\n') == b'one\n'
    caller.writer.write_eof()
    assert await caller.send_line(b'') == b''


async def test_silent_connection_stays_silent_and_new_ones_work(relay):
    address, control = relay
    old = await Caller.connect(address)
    assert await old.send_line(b'one\n') == b'one\n'
    await control.set_faults(mode='silent')
    assert await old.gets_no_response(b'two\n')
    new = await Caller.connect(address)
    assert await new.send_line(b'three\n') == b'three\n'
    await control.set_faults(mode='pass')
    assert await old.gets_no_response(b'four\n')
    assert (await control.get('/stats')).json() == {
        'connections': 2,
        'silent': 1,
    }


async def test_held_bytes_are_delivered_late_and_in_order(relay):
    address, control = relay
    caller = await Caller.connect(address)
    await control.set_faults(mode='hold')
    assert await caller.gets_no_response(b'one\n')
    caller.writer.write(b'two\n')
    await control.set_faults(mode='pass')
    assert await caller.send_line(b'three\n') == b'one\n'
    assert await caller.send_line(b'') == b'two\n'
    assert await caller.send_line(b'') == b'three\n'


async def test_drop_resets_open_and_new_connections(relay):
    address, control = relay
    old = await Caller.connect(address)
    assert await old.send_line(b'one\n') == b'one\n'
    await control.set_faults(mode='drop')
    with pytest.raises(ConnectionResetError):
        await old.send_line(b'')
    new = await Caller.connect(address)
    with pytest.raises(ConnectionResetError):
        await new.send_line(b'two\n')
    await control.set_faults(mode='pass')
    newest = await Caller.connect(address)
    assert await newest.send_line(b'three\n') == b'three\n'


async def test_delay_applies_in_each_direction(relay):
    address, control = relay
    await control.set_faults(delay_ms=150)
    caller = await Caller.connect(address)
    started_at = time.monotonic()
    assert await caller.send_line(b'one\n') == b'one\n'
    taken_ms = (time.monotonic() - started_at) * 1000
    assert round(taken_ms) >= 300


async def test_relay_process_prints_both_addresses(serve):
    server = await asyncio.start_server(echo, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    with contextlib.closing(server):
        process = await launch('relay', '--to', f'{host}:{port}')
        caller = await Caller.connect(process.address)
        assert await caller.send_line(b'one\n') == b'one\n'
        assert ':' in process.addresses['control']
        assert await process.stop() == 0


async def name_caller(reader, writer):
    address, _ = writer.get_extra_info('peername')
    writer.write(f'{address}\n'.encode())
    writer.close()


async def test_target_knows_the_first_of_two_relays():
    server = await asyncio.start_server(name_caller, '127.0.0.1', 0)
    second = Relay(*server.sockets[0].getsockname(), keeps_source=True)
    host, port = (await second.start('127.0.0.1', 0)).split(':')
    first = Relay(host, int(port), source_ip='127.0.4.7')
    caller = await Caller.connect(await first.start('127.0.0.1', 0))

    with contextlib.closing(server):
        assert await caller.send_line(b'') == b'127.0.4.7\n'
        await first.stop()
        await second.stop()
