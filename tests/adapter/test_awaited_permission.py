"""Callers that wait for permission to send a body (``Expect``) get it."""

import asyncio

import pytest
from aiohttp import ClientTimeout

from .conftest import World

WAIT = ClientTimeout(total=20)  # callers without permission wait forever
STOP_S = 60


# Callers waited in vain, until they gave up or the host stopped.
@pytest.mark.parametrize('stopping', [False, True])
async def test_caller_that_waits_for_permission_is_answered(
    world: World, stopping: bool
) -> None:
    if stopping:
        world.host._path.shutdown.begin(world.host._clock.now() + STOP_S)

    async with world.caller.post(
        world.url('/unsafe/x'),
        headers=world.headers(),
        data=b'body',
        expect100=True,
        timeout=WAIT,
    ) as answer:
        assert answer.status == 200
        assert await answer.read() == b'body'
    assert 'Expect' not in world.target.requests[-1].headers


async def test_caller_with_old_protocol_gets_only_its_answer(
    world: World,
) -> None:
    host, _, port = world.settings.listen.front.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    headers = {
        **world.headers(),
        'Content-Length': '4',
        'Expect': '100-continue',
    }
    lines = [f'{name}: {text}' for name, text in headers.items()]
    head = '\r\n'.join(('POST /unsafe/x HTTP/1.0', *lines, '', 'body'))
    writer.write(head.encode())

    assert b' 200 ' in await reader.readline()
    writer.close()
