"""Prompts are prefilled on prefill engines and decoded on decode engines."""

import pytest
import pytest_asyncio
from geranium_standins.deployment import Deployment, DeploymentSettings
from geranium_standins.managed_process import wait_until

from .world import has_version

pytestmark = pytest.mark.asyncio(loop_scope='module')

PROMPT = 'Guests of the wedding in Windhoek, by table and by name. ' * 60


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def deployment():
    settings = DeploymentSettings(
        engines=2, daemons=1, targets=1, engine_options=('--role-change-ms=50',)
    )
    async with Deployment(settings) as running:
        for engine, role in (('engine-1', 'prefill'), ('engine-2', 'decode')):
            answer = await running.operator.execute(f'set role {engine} {role}')
            assert answer['rows'][0][-1] == 'done'
        yield running


async def chat(deployment, secret, identity='kv-1'):
    async with deployment.http.post(
        deployment.caller_url('host-1', '/v1/chat/completions'),
        json={
            'model': 'llm',
            'max_tokens': 8,
            'messages': [{'role': 'user', 'content': f'{identity} {PROMPT}'}],
        },
        headers={'Authorization': f'Bearer {secret}', 'Request-Id': identity},
    ) as response:
        return response.status, await response.json()


async def test_prompt_is_prefilled_on_another_engine_and_response_is_complete(
    deployment,
):
    secret = await deployment.operator.create_key('handoff')
    status, answer = await chat(deployment, secret)
    assert (status, answer['usage']['completion_tokens']) == (200, 8)
    explained = await deployment.operator.execute('explain request kv-1')
    steps = [row[-1] for row in explained['rows']]
    assert 'prompt read by engine-1' in steps
    assert 'sent to engine-2' in steps
    log = deployment.daemons_by_host['host-1'].log()
    assert 'kv_not_handed_over' not in {line['event'] for line in log}


async def test_cache_of_another_model_version_is_not_handed_over(
    deployment,
):
    load = 'load model model version 2 on engine engine-1'
    await deployment.operator.execute(load)
    await wait_until(lambda: has_version(deployment, 'engine-1', '2'))
    secret = await deployment.operator.create_key('versions')

    status, _ = await chat(deployment, secret, 'kv-2')

    assert status == 200
    explained = await deployment.operator.execute('explain request kv-2')
    steps = [row[-1] for row in explained['rows']]
    assert 'prompt read by engine-1' not in steps
    assert 'sent to engine-2' in steps


async def test_without_the_prefill_engine_the_decode_engine_prefills(
    deployment,
):
    secret = await deployment.operator.create_key('alone')
    deployment.engines_by_name['engine-1'].kill()
    status, answer = await chat(deployment, secret)
    assert (status, answer['usage']['completion_tokens']) == (200, 8)
