"""Stand-ins in separate processes."""

import asyncio

import aiohttp
import pytest
from geranium_standins import StandinError, launch


@pytest.mark.parametrize(
    ('kind', 'options', 'path'),
    [
        ('platform', (), '/stats'),
        ('engine', ('--engine', 'e-1', '--role', 'decode'), '/load'),
        ('application', ('--target', 't-1'), '/log'),
    ],
)
async def test_process_prints_its_address_and_stops_on_sigterm(
    kind, options, path
):
    process = await launch(kind, '--port', '0', '--seed', '3', *options)
    async with aiohttp.request(
        'GET', f'http://{process.address}{path}'
    ) as response:
        assert response.status == 200
    assert await process.stop() == 0


async def test_stop_with_a_running_stream_is_clean():
    process = await launch('engine')
    body = {'model': 'm', 'prompt': 'p', 'max_tokens': 20_000}
    async with aiohttp.request(
        'POST',
        f'http://{process.address}/v1/completions',
        json=body,
        headers={'Request-Id': 'r-1'},
    ) as response:
        assert await response.content.readline()
        assert await process.stop() == 0


async def test_crash_marker_ends_the_process():
    process = await launch('engine')
    url = f'http://{process.address}'
    async with aiohttp.ClientSession() as session:
        await session.put(f'{url}/faults', json={'crash_marker': 'poison'})
        body = {'model': 'm', 'prompt': 'poison'}
        headers = {'Request-Id': 'r-1'}
        with pytest.raises(aiohttp.ClientError):
            async with session.post(
                f'{url}/v1/completions', json=body, headers=headers
            ) as response:
                await response.read()
    assert await asyncio.wait_for(process.wait(), timeout=20) == 70


async def test_unknown_option_fails_the_launch():
    with pytest.raises(StandinError):
        await launch('engine', '--no-such-option')
