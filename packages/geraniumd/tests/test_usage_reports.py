"""Each usage window has one consistent report, even if hosts are killed."""

import asyncio
import collections

import pytest
import pytest_asyncio
from geranium_standins.deployment import Deployment, DeploymentSettings
from geranium_standins.managed_process import wait_until

pytestmark = pytest.mark.asyncio(loop_scope='module')

USAGE = {'window_s': 2, 'late_s': 1, 'batch_interval_s': 0.2}


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def deployment():
    settings = DeploymentSettings(
        engines=1, targets=1, daemon_settings={'usage': USAGE}
    )
    async with Deployment(settings) as running:
        yield running


async def call_application(deployment, secret, host):
    async with deployment.http.get(
        deployment.caller_url(host, '/apps/app/orders'),
        headers={'Authorization': f'Bearer {secret}'},
        raise_for_status=True,
    ) as response:
        await response.read()


async def reported_requests(deployment):
    log = await deployment.platform.read_log()
    figures_by_window = collections.defaultdict(set)
    total = 0
    for report in log['usage_reports']:
        requests = report['figures'].get('registry', {}).get('requests', 0)
        if requests not in figures_by_window[report['window']]:
            total += requests
        figures_by_window[report['window']].add(requests)
    assert all(len(seen) == 1 for seen in figures_by_window.values())
    return total


async def test_usage_of_a_killed_host_is_reported_once(deployment):
    secret = await deployment.operator.create_key('usage-key')
    for host in ('host-1', 'host-2', 'host-3') * 4:
        await call_application(deployment, secret, host)
    await asyncio.sleep(
        1
    )  # five batch intervals, after which usage is acknowledged
    deployment.daemons_by_host['host-3'].kill()
    await call_application(deployment, secret, 'host-1')

    async def all_reported():
        return await reported_requests(deployment) >= 13

    await wait_until(all_reported)
    await asyncio.sleep(3)  # reports of later windows must not change the total
    assert await reported_requests(deployment) == 13
