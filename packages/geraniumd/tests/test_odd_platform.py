"""Odd responses of the platform are errors of the store."""

import contextlib

import pytest
from aiohttp import web
from geranium_coordination import (
    AnswerLostError,
    StoreError,
    UnavailableError,
    Unconditional,
)
from geraniumd.platform import PlatformClient
from geraniumd.process import PlatformSettings

DEEP = ''.join(('[' * 100_000, ']' * 100_000))
ROW = '{"key": "p/b", "version": 2, "value": 1}'
ODD_LISTS = (
    'x',
    '3',
    '[]',
    '{}',
    '{"objects": 3}',
)
ODD_ROWS = (
    'null',
    '3',
    '{}',
    '{"key": 3, "version": 1, "value": 1}',
    '{"key": "p/a", "version": "1", "value": 1}',
    '{"key": "p/a", "version": 1e999, "value": 1}',
    '{"key": "p/a", "version": -1, "value": 1}',
    '{"key": "p/a", "version": 1}',
    DEEP,
)
ODD_TAGS = (None, '', 'x', '"x"', '"-1"', '"{}"'.format('9' * 5000))


@contextlib.asynccontextmanager
async def client_of(body, tag='"1"', status=200):
    async def answer(_request):
        headers = {} if tag is None else {'ETag': tag}
        return web.Response(text=body, headers=headers, status=status)

    application = web.Application()
    application.router.add_route('*', '/{path:.*}', answer)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0][:2]
    client = PlatformClient(PlatformSettings(address=f'{host}:{port}'))
    yield client
    await client.close()
    await runner.cleanup()


@pytest.mark.parametrize('body', ODD_LISTS)
async def test_odd_list_is_unavailable(body):
    async with client_of(body) as client:
        with pytest.raises(UnavailableError):
            await client.read_prefix('p/')
        with pytest.raises(UnavailableError):
            await client.targets()
        with pytest.raises(UnavailableError):
            await client.hosts()


@pytest.mark.parametrize('row', ODD_ROWS)
async def test_odd_object_of_a_list_hides_no_other(row):
    async with client_of(f'{{"objects": [{row}, {ROW}]}}') as client:
        found = await client.read_prefix('p/')

    assert [stored.key for stored in found] == ['p/b']


@pytest.mark.parametrize('tag', ODD_TAGS)
async def test_odd_version_is_an_error_of_the_store(tag):
    async with client_of('{}', tag) as client:
        with pytest.raises(UnavailableError):
            await client.read('p/a')
        with pytest.raises(UnavailableError):
            await client.watch('p/a', 1, 0)
        with pytest.raises(AnswerLostError):
            await client.write('p/a', {}, Unconditional())


@pytest.mark.parametrize('tag', ODD_TAGS)
async def test_conflict_with_an_odd_version_is_an_error_of_the_store(tag):
    async with client_of('{}', tag, 412) as client:
        with pytest.raises(StoreError):
            await client.write('p/a', {}, Unconditional())
        with pytest.raises(StoreError):
            await client.delete('p/a', Unconditional())
