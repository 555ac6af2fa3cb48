"""Operators' orders reach engines without interrupting requests."""

import asyncio
from functools import partial

import pytest
import pytest_asyncio
from geranium_standins.deployment import Deployment, DeploymentSettings
from geranium_standins.managed_process import wait_until

pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def deployment():
    settings = DeploymentSettings(
        engine_options=('--role-change-ms=300',),
        unfenced_engines=frozenset(('engine-2',)),
    )
    async with Deployment(settings) as running:
        yield running


async def stream_chat(deployment, secret, max_tokens):
    async with deployment.http.post(
        deployment.caller_url('host-1', '/v1/chat/completions'),
        json={
            'model': 'llm',
            'stream': True,
            'max_tokens': max_tokens,
            'messages': [{'role': 'user', 'content': 'A long card'}],
        },
        headers={'Authorization': f'Bearer {secret}'},
    ) as response:
        return (await response.read()).decode()


@pytest.mark.parametrize('engine', ['engine-1', 'engine-2'])
async def test_role_change_drains_first_and_interrupts_no_stream(
    deployment, engine
):
    secret = await deployment.operator.create_key(f'key-{engine}')
    chats = [
        asyncio.create_task(stream_chat(deployment, secret, 150))
        for _ in range(6)
    ]
    answer = await deployment.operator.execute(f'set role {engine} decode')
    assert answer['rows'][0][-1] == 'done'
    for text in await asyncio.gather(*chats):
        assert text.endswith('data: [DONE]\n\n')
        assert 'event: error' not in text
    log = await deployment.engines_by_name[engine].read_log()
    kinds = [order['order']['kind'] for order in log['orders']]
    assert kinds == ['drain', 'set-role', 'resume']
    outcomes = {row['outcome'] for row in log['requests']}
    assert 'cut' not in outcomes


async def duties_are_held(deployment):
    leases = await deployment.operator.execute('show leases')
    duties = sorted(row[0] for row in leases['rows'])
    return duties == ['director-llm', 'usage-reporter']


async def test_orders_and_leases_are_shown(deployment):
    answer = await deployment.operator.execute('drain engine engine-3')
    order_id = answer['rows'][0][1]
    assert answer['rows'][0][-1] == 'done'
    await wait_until(partial(duties_are_held, deployment))
    orders = await deployment.operator.execute(
        f'show orders where order = "{order_id}"',
    )
    engine = orders['columns'].index('engine')
    state = orders['columns'].index('state')
    assert len(orders['rows']) == 1
    row = orders['rows'][0]
    assert (row[engine], row[state]) == ('engine-3', 'done')


async def test_unknown_engine_is_refused(deployment):
    with pytest.raises(Exception, match='422'):
        await deployment.operator.execute('drain engine none')
