"""Leaving targets receive no new calls after a few seconds."""

import asyncio

import pytest
import pytest_asyncio
from geranium_standins.deployment import Deployment, DeploymentSettings

pytestmark = pytest.mark.asyncio(loop_scope='module')

CALLS = 30
HOSTS = ('host-1', 'host-2', 'host-3')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def deployment():
    async with Deployment(DeploymentSettings(engines=1)) as running:
        yield running


async def call_all_hosts(deployment, secret):
    for number in range(CALLS):
        host = HOSTS[number % len(HOSTS)]
        async with deployment.http.get(
            deployment.caller_url(host, '/apps/app/orders'),
            headers={'Authorization': f'Bearer {secret}'},
            raise_for_status=True,
        ) as response:
            await response.read()


async def executions(deployment, target):
    log = await deployment.targets_by_name[target].read_log()
    return len(log['executions'])


async def test_leaving_target_of_the_list_gets_no_new_work(deployment):
    secret = await deployment.operator.create_key('leaving')
    await call_all_hosts(deployment, secret)
    assert await executions(deployment, 'target-1') > 0
    process = deployment.targets_by_name['target-1']
    row = {
        'target': 'target-1',
        'service': 'app',
        'zone': 'zone-a',
        'address': process.addresses['address'],
        'purchase': 'reserved',
        'state': 'leaving',
    }
    platform_url = deployment.platform.url
    url = f'{platform_url}/targets/target-1'
    async with deployment.http.put(url, json=row, raise_for_status=True):
        await asyncio.sleep(5)  # "a few seconds"
    before = await executions(deployment, 'target-1')
    await call_all_hosts(deployment, secret)
    assert await executions(deployment, 'target-1') == before


async def test_killed_target_loses_no_repeatable_call(deployment):
    secret = await deployment.operator.create_key('killed')
    deployment.targets_by_name['target-2'].kill()
    await call_all_hosts(deployment, secret)
