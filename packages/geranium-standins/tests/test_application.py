"""The application stand-in logs executions and injects faults."""

import asyncio

import aiohttp
import pytest
from geranium_standins import (
    ApplicationSettings,
    StandinClient,
    StandinError,
    create_application,
)

HEADERS = {'Request-Id': 'r-1', 'Idempotency-Key': 'k-1', 'Team': 'band'}


async def test_each_execution_is_logged(application):
    answer = await application.post('/holds/4', {'room': 1}, headers=HEADERS)
    await application.get('/holds/4')
    first, second = await application.log('executions')
    assert answer.json()['execution'] == 1
    assert first['request_id'] == 'r-1'
    assert first['idempotency_key'] == 'k-1'
    assert first['team'] == 'band'
    assert 'Authorization' not in first['headers']
    assert (second['method'], second['path']) == ('GET', '/holds/4')


@pytest.mark.parametrize(
    ('fault', 'status', 'kind', 'executions'),
    [
        ('refuse', 503, 'not-run', 0),
        ('fail', 500, 'ran-and-failed', 1),
    ],
)
async def test_refused_call_is_not_executed_and_failed_call_is(
    application, fault, status, kind, executions
):
    await application.set_faults(**{fault: True})
    answer = await application.post('/x')
    assert (answer.status, answer.json()['type']) == (status, kind)
    assert len(await application.log('executions')) == executions


async def test_lost_response_follows_execution(application):
    await application.set_faults(drop_after_run=1)
    with pytest.raises(aiohttp.ClientError):
        await application.post('/x')
    assert (await application.post('/x')).status == 200
    assert len(await application.log('executions')) == 2


async def test_silent_target_neither_responds_nor_executes(application):
    await application.set_faults(silent=True)
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(application.post('/x'), timeout=0.3)
    assert not await application.log('executions')


async def test_delay_follows_execution(application):
    await application.set_faults(delay_ms=60_000)
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(application.post('/x'), timeout=0.3)
    assert len(await application.log('executions')) == 1


async def test_call_with_crash_marker_exits(serve):
    crashes = []
    settings = ApplicationSettings(exit_process=crashes.append)
    application = await serve(create_application(settings))
    await application.set_faults(crash_marker='poison')
    await application.post('/x', 'fine')
    assert not crashes
    await application.post('/x', 'some poison here')
    assert crashes == [70]


async def test_silence_connections_affects_open_connections_only(application):
    await application.get('/x')
    async with aiohttp.ClientSession() as control:
        address = f'http://{application.address}'
        body = {'silence_connections': True}
        await control.put(f'{address}/faults', json=body)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(application.get('/x'), timeout=0.3)
        async with control.get(f'{address}/new') as response:
            assert response.status == 200
        executions = await StandinClient(control, application.address).log(
            'executions',
        )
    assert [entry['path'] for entry in executions] == ['/x', '/new']


async def test_error_names_unknown_switch(application):
    with pytest.raises(StandinError, match='silnet'):
        await application.set_faults(silnet=True)
