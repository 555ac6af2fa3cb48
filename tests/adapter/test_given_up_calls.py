"""Calls that are given up must not arrive when the path is up again."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable

import geranium_relay as relay
import pytest
from geranium_coordination import Unconditional
from geranium_platform.cloud import Cloud
from geranium_platform.object_store import PlatformStore

from .raw_servers import listening


class SilentServer:
    """Notes whether connections end with a reset, and never responds."""

    def __init__(self) -> None:
        self.address = ''
        self.arrived = asyncio.Event()
        self.resets: asyncio.Queue[bool] = asyncio.Queue()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        self.arrived.set()
        try:
            await reader.read()
        except ConnectionResetError:
            self.resets.put_nowait(True)
        else:
            self.resets.put_nowait(False)
        finally:
            writer.close()


@pytest.fixture
async def server() -> AsyncIterator[SilentServer]:
    silent = SilentServer()
    async with listening(silent.serve) as address:
        silent.address = address
        yield silent


async def give_up(server: SilentServer, call: Awaitable[object]) -> bool:
    """Cancel a call that has been sent; return whether it was reset."""
    calling = asyncio.ensure_future(call)
    await server.arrived.wait()
    calling.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await calling
    return await server.resets.get()


async def test_report_whose_lease_is_lost_is_reset(
    server: SilentServer,
) -> None:
    """It arrived after reports of the next holder, when a cut had healed."""
    log = relay.DecisionLog(relay.LogSettings(), lambda _line: None, float)
    cloud = Cloud(server.address, 'host-1', log)

    assert await give_up(server, cloud.report(1, {'team': 1}, 7))


async def test_order_whose_lease_is_lost_is_reset(
    server: SilentServer,
) -> None:
    log = relay.DecisionLog(relay.LogSettings(), lambda _line: None, float)
    cloud = Cloud(server.address, 'host-1', log)
    order = relay.TargetOrder('app', 'a', reclaimable=False, count=2)

    assert await give_up(server, cloud.order(order, 7))


async def test_write_to_the_store_that_is_given_up_is_reset(
    server: SilentServer,
) -> None:
    """Older counts of usage replaced newer ones, when a cut had healed."""
    store = PlatformStore(relay.StoreSettings(server.address))

    assert await give_up(
        server, store.write('usage/counts/h', {'1': {}}, Unconditional())
    )
    await store.cleanup()
