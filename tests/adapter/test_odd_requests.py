"""Odd numbers in requests end neither them nor the updates to peers."""

import asyncio

import pytest
from geranium_relay.peer_updates import (
    Audience,
    decode_peer_update,
    encode_peer_update,
)

from .conftest import CONFIGURATION, World
from .waits import wait_for

MANY = '9' * 400
OVER_UINT32 = 1 << 32


@pytest.fixture
async def engine_world(world: World) -> World:
    """A host whose service has engines, to which it sends prompts."""
    engine = {'slots': 6, 'kvTokens': 1000}
    world.store.put(
        'config',
        'main',
        {
            **CONFIGURATION,
            'version': 2,
            'services': [{'name': 'app', 'engine': engine}],
        },
    )

    async def is_known() -> bool:
        catalogue = world.host.state.view.catalogue
        return catalogue is not None and catalogue.version == 2

    await wait_for(is_known)
    return world


@pytest.mark.parametrize(
    ('size', 'prefix'),
    [
        ('100,10', f'a:{OVER_UINT32},b:5'),
        ('100,10', f'a:{MANY},b:5'),
        ('100,10', 'a:-5,b:5'),
        ('100,10', 'a:5,b'),
        ('100,10', 'a\xff:5,b:5'),
        (f'{OVER_UINT32},10', 'a:5,b:5'),
        (f'{MANY},10', 'a:5,b:5'),
        ('-100,10', 'a:5,b:5'),
        (f'100,{MANY}', 'a:5,b:5'),
        ('100,nan', 'a:5,b:5'),
    ],
)
async def test_odd_prompt_size_ends_no_update(
    engine_world: World, size: str, prefix: str
) -> None:
    world = engine_world
    headers = world.headers(Token_Usage=size, Prompt_Prefix=prefix)

    async with world.caller.post(
        world.url('/safe/a'), headers=headers
    ) as response:
        assert response.status == 200

    check_update(world)


async def test_undecodable_prompt_part_ends_no_request(
    engine_world: World,
) -> None:
    host, _, port = engine_world.settings.listen.front.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b'POST /safe/a HTTP/1.1\r\nHost: example\r\nRequest-Id: r1\r\n'
        b'Authorization: Bearer key\r\nContent-Length: 0\r\n'
        b'Token-Usage: 100,10\r\nPrompt-Prefix: \xff:5,b:5\r\n\r\n'
    )

    assert (await reader.readline()).startswith(b'HTTP/1.1 200')

    writer.close()
    check_update(engine_world)


def check_update(world: World) -> None:
    """Check that a host can send its update."""
    composer = world.host._exchange._composer
    update = composer.direct(Audience.NEAR)
    decode_peer_update(encode_peer_update(update))


@pytest.mark.parametrize('deadline', ['nan', '-inf', 'inf', MANY, '1e308', 'x'])
async def test_odd_deadline_is_that_of_the_route(
    world: World, deadline: str
) -> None:
    headers = world.headers(Deadline_Ms=deadline)

    async with world.caller.post(
        world.url('/safe/a'), headers=headers
    ) as response:
        assert response.status == 200

    sent = world.target.requests[-1].headers
    assert 0 < int(sent['Deadline-Ms']) <= 800
