"""A request that crashes engines stops after two of them.

Without a limit, retries would crash every engine of the service in turn.
"""

import asyncio

import pytest
import pytest_asyncio
from geranium_standins.deployment import Deployment, DeploymentSettings

pytestmark = pytest.mark.asyncio(loop_scope='module')

POISON = 'zzz-poison'


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def deployment():
    async with Deployment(DeploymentSettings(engines=6)) as running:
        for engine in running.engines_by_name.values():
            await engine.put_faults(crash_marker=POISON)
        yield running


async def chat(deployment, secret, host, text, max_tokens=4):
    async with deployment.http.post(
        deployment.caller_url(host, '/v1/chat/completions'),
        json={
            'model': 'llm',
            'max_tokens': max_tokens,
            'messages': [{'role': 'user', 'content': text}],
        },
        headers={'Authorization': f'Bearer {secret}'},
    ) as response:
        return response.status, await response.json()


async def test_poison_stops_after_two_engines_on_all_hosts(deployment):
    secret = await deployment.operator.create_key('poison')
    others = [
        asyncio.create_task(
            chat(deployment, secret, 'host-3', f'ok {number}', 60)
        )
        for number in range(12)
    ]
    statuses = []
    for host in ('host-1', 'host-2', 'host-3', 'host-1'):
        status, answer = await chat(deployment, secret, host, POISON)
        statuses.append((status, answer['outcome']))
    alive = [
        engine.is_running for engine in deployment.engines_by_name.values()
    ]
    assert alive.count(False) == 2
    assert statuses[-1] == (422, 'ran-and-failed')
    for status, _ in await asyncio.gather(*others):
        assert status == 200
    status, _ = await chat(deployment, secret, 'host-2', 'a card')
    assert status == 200
