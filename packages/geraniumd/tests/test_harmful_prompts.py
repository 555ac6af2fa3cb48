"""Requests whose prompts begin alike crash engines, one after the other."""

import pytest
import pytest_asyncio
from geranium_standins.deployment import Deployment, DeploymentSettings

pytestmark = pytest.mark.asyncio(loop_scope='module')

ENGINES = 8
POISON = 'zzz-poison '
SHARED_TEXT = POISON * 200  # several blocks of a prompt
CRASHES_BORNE = 3
HOSTS = ('host-1', 'host-2', 'host-3')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def deployment():
    async with Deployment(DeploymentSettings(engines=ENGINES)) as running:
        for engine in running.engines_by_name.values():
            await engine.put_faults(crash_marker=POISON)
        yield running


async def chat(deployment, secret, host, text):
    async with deployment.http.post(
        deployment.caller_url(host, '/v1/chat/completions'),
        json={
            'model': 'llm',
            'max_tokens': 4,
            'messages': [{'role': 'user', 'content': text}],
        },
        headers={'Authorization': f'Bearer {secret}'},
    ) as response:
        return response.status, await response.json()


async def test_prompts_that_begin_alike_stop_after_three_engines(deployment):
    secret = await deployment.operator.create_key('poison')
    answers = [
        await chat(deployment, secret, host, f'{SHARED_TEXT}{number}')
        for number, host in enumerate(HOSTS * 2)
    ]

    alive = [
        engine.is_running for engine in deployment.engines_by_name.values()
    ]
    assert alive.count(False) == CRASHES_BORNE
    status, answer = answers[-1]
    assert (status, answer['outcome']) == (503, 'not-run')
    status, _ = await chat(deployment, secret, 'host-2', 'a card')
    assert status == 200
