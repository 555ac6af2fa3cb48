"""The application stand-in counts what it ran."""

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
async def test_refusal_runs_nothing_and_failure_does(
    application, fault, status, kind, executions
):
    await application.set_faults(**{fault: True})
    answer = await application.post('/x')
    assert (answer.status, answer.json()['type']) == (status, kind)
    assert len(await application.log('executions')) == executions


async def test_dropped_answer_comes_after_the_run(application):
    await application.set_faults(drop_after_run=1)
    with pytest.raises(aiohttp.ClientError):
        await application.post('/x')
    assert (await application.post('/x')).status == 200
    assert len(await application.log('executions')) == 2


async def test_silent_target_answers_and_runs_nothing(application):
    await application.set_faults(silent=True)
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(application.post('/x'), timeout=0.3)
    assert not await application.log('executions')


async def test_delay_comes_after_the_execution_began(application):
    await application.set_faults(delay_ms=60_000)
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(application.post('/x'), timeout=0.3)
    assert len(await application.log('executions')) == 1


async def test_marked_call_crashes_the_process(serve):
    crashes = []
    settings = ApplicationSettings(exit_process=crashes.append)
    application = await serve(create_application(settings))
    await application.set_faults(crash_marker='poison')
    await application.post('/x', 'fine')
    assert not crashes
    await application.post('/x', 'some poison here')
    assert crashes == [70]


async def test_open_connections_go_silent_and_new_ones_work(application):
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


async def test_unknown_switch_is_named(application):
    with pytest.raises(StandinError, match='silnet'):
        await application.set_faults(silnet=True)
