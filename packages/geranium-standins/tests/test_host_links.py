"""Links that are cut and healed as a whole."""

import asyncio
import contextlib

import pytest
from geranium_standins.host_links import CutMode, HostLinks

LINKS_IP = '127.0.3.250'


@pytest.fixture
async def serving_links():
    """Return the links of a host and what is closed after them."""
    links = HostLinks(LINKS_IP)
    async with contextlib.AsyncExitStack() as stack:
        yield links, stack
        await links.close()


async def make_target(stack):
    """Return the address of a target that accepts connections."""
    server = await asyncio.start_server(close_connection, '127.0.0.1', 0)
    stack.push_async_callback(close_server, server)
    return server.sockets[0].getsockname()


async def close_connection(reader, writer):
    writer.close()


async def close_server(server):
    server.close()


async def test_link_that_is_added_while_others_are_healed(serving_links):
    links, stack = serving_links
    await links.add(await make_target(stack))
    await links.add(await make_target(stack))
    added = await make_target(stack)
    await links.cut(CutMode.REFUSED)

    await asyncio.gather(links.heal(), links.add(added))

    _, writer = await asyncio.open_connection(LINKS_IP, added[1])
    writer.close()


@pytest.mark.parametrize('mode', CutMode)
async def test_link_that_is_added_while_all_are_cut(serving_links, mode):
    links, stack = serving_links
    await links.add(await make_target(stack))
    added = await make_target(stack)

    await asyncio.gather(links.add(added), links.cut(mode))
    await links.heal()

    _, writer = await asyncio.open_connection(LINKS_IP, added[1])
    writer.close()


async def test_link_that_is_added_while_all_are_cut_is_cut(serving_links):
    links, stack = serving_links
    added = await make_target(stack)

    await asyncio.gather(links.add(added), links.cut(CutMode.REFUSED))

    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(LINKS_IP, added[1])
    await links.heal()
