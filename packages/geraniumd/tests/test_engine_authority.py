"""Engines receive no conflicting orders when their director fails over."""

import asyncio
import json

import pytest
from geranium_standins.deployment import DeploymentSettings
from geranium_standins.managed_process import wait_until
from pytest_bdd import parsers, scenarios, then, when

scenarios('features/engine_orders.feature')

ROLES = ('decode', 'prefill')
TAKEOVER_S = 60
RETRY_S = 0.2
CONFLICT = 409


@pytest.fixture(scope='module')
def deployment_settings():
    return DeploymentSettings(
        targets=1, engine_options=('--role-change-ms=300',)
    )


@pytest.fixture
def failed_hosts():
    return []


async def read_role(world, engine):
    url = world.deployment.engines_by_name[engine].url
    async with world.deployment.http.get(f'{url}/load') as response:
        return (await response.json())['role']


async def director_host(world):
    response = await world.statement('show leases where duty = "director-llm"')
    return json.dumps(json.loads(response.text)['rows'])


async def order_until_accepted(world, engine, role, host):
    """Retry the order while an earlier order is unfinished."""
    while True:
        response = await world.statement(f'set role {engine} {role}', host)
        if response.status != CONFLICT:
            return response
        await asyncio.sleep(RETRY_S)


def order_role(world, engine, role, host):
    # The response waits for the engine and may outlast the step.
    ordering = order_until_accepted(world, engine, role, host)
    name = f'{engine} {role} {host}'
    world.tasks_by_name[name] = asyncio.create_task(ordering)


@when(parsers.parse('{engine} is ordered to be decode and prefill at once'))
def order_both(world, engine):
    async def order():
        for role, host in zip(ROLES, ('host-1', 'host-2'), strict=True):
            order_role(world, engine, role, host)
        await asyncio.gather(*world.tasks_by_name.values())

    world.run(order())


@when(parsers.parse('{engine} is ordered to be {role:w}'))
def order_one(world, engine, role, failed_hosts):
    hosts = world.deployment.daemons_by_host
    host = next(host for host in hosts if host not in failed_hosts)

    async def order():
        order_role(world, engine, role, host)

    world.run(order())


@when(parsers.parse("the director's host {fails}"))
def fail_director(world, failed_hosts, fails):
    async def fail():
        holder = await director_host(world)
        for host, process in world.deployment.daemons_by_host.items():
            if f'{host}.' in holder or f'"{host}"' in holder:
                failed_hosts.append(host)
                process.kill() if fails == 'is killed' else process.freeze()

    world.run(fail())
    assert len(failed_hosts) == 1


@when("the director's former host runs again")
def restore(world, failed_hosts):
    async def start():
        host = failed_hosts.pop()
        process = world.deployment.daemons_by_host[host]
        if process.is_running:
            process.thaw()
        else:
            zones = world.deployment.settings.zones
            zone = zones[int(host[-1]) - 1]
            await world.deployment.add_daemon(host, zone)
            await world.deployment.wait_ready(host)

    world.run(start())


@then(parsers.parse('{engine} takes the role {role}'))
def check_role(world, engine, role):
    async def has_role():
        return await read_role(world, engine) == role

    world.run(wait_until(has_role, TAKEOVER_S))


@then(parsers.parse('{engine} ends in one of these roles'))
def check_either(world, engine):
    async def has_role():
        return await read_role(world, engine) in ROLES

    world.run(wait_until(has_role, TAKEOVER_S))


@then(parsers.parse('the orders of {engine} do not conflict'))
def check_orders(world, engine):
    process = world.deployment.engines_by_name[engine]
    orders = world.run(process.read_log())['orders']
    accepted = [order for order in orders if order['accepted']]
    epochs = [order['epoch'] for order in accepted]
    assert epochs == sorted(epochs)
    for order in accepted:
        assert order['repeated'] or not order['overlaps'], orders
