"""Withdrawn keys are rejected on every host; targets never receive keys."""

import asyncio
import dataclasses

import aiohttp
import pytest
from geranium_standins.deployment import DeploymentSettings
from geranium_standins.managed_process import wait_until
from pytest_bdd import given, parsers, scenarios, then, when

scenarios('features/keys.feature')

# Hosts become voters 8 s after their start; no state reports it.
VOTES_AFTER_S = 9
OPEN_PATH = '/apps/app/public/hours'


@dataclasses.dataclass(slots=True)
class Caller:
    """Calls one host with one key over one connection."""

    session: aiohttp.ClientSession
    url: str
    secret: str
    text: str = ''

    async def call(self):
        async with self.session.get(
            self.url, headers={'Authorization': f'Bearer {self.secret}'}
        ) as response:
            self.text = await response.text()
            return response.status


@pytest.fixture(scope='module')
def deployment_settings():
    return DeploymentSettings(engines=1, targets=2)


@pytest.fixture
def callers(world):
    async def connect(host):
        connector = aiohttp.TCPConnector(limit=1)
        url = world.deployment.caller_url(host, '/apps/app/orders')
        session = aiohttp.ClientSession(connector=connector)
        return Caller(session, url, world.secret)

    async def connect_all():
        hosts = world.deployment.daemons_by_host
        return {host: await connect(host) for host in hosts}

    connected = world.run(connect_all())
    yield connected
    for caller in connected.values():
        world.run(caller.session.close())


async def statuses(callers):
    return {await caller.call() for caller in callers.values()}


async def all_get(callers, status):
    return await statuses(callers) == {status}


@given('callers with the key keep connections to all hosts')
def connect_callers(world, callers):
    world.run(wait_until(lambda: all_get(callers, 200)))


@given('the hosts have run long enough to be voters')
def wait_for_votes(world):
    world.run(asyncio.sleep(VOTES_AFTER_S))


@when(parsers.parse('{seconds:d} s pass'))
def pass_time(world, seconds):
    world.run(asyncio.sleep(seconds))


@when('the key is withdrawn')
def withdraw(world):
    async def is_withdrawn():
        reply = await world.statement(f'withdraw key key-{world.keys}')
        return reply.status == 200

    world.run(wait_until(is_withdrawn))


@then('every host refuses the callers on their connections')
def check_refused(world, callers):
    world.run(wait_until(lambda: all_get(callers, 401)))
    assert world.run(statuses(callers)) == {401}


@then('all hosts serve the callers')
def check_served(world, callers):
    assert world.run(statuses(callers)) == {200}


@then('a withdrawal is refused')
def check_withdrawal_refused(world):
    reply = world.run(world.statement(f'withdraw key key-{world.keys}'))
    assert reply.status == 503, reply.text


@then(parsers.parse('host-{number:d} refuses its callers as not run'))
def check_stale(world, callers, number):
    caller = callers[f'host-{number}']

    async def refuses():
        return await caller.call() == 503

    world.run(wait_until(refuses))
    assert '"not-run"' in caller.text
    assert 'not-confirmed' in caller.text


@then('open routes still serve through all hosts')
def check_open_routes(world):
    for number in range(1, len(world.deployment.daemons_by_host) + 1):
        check_open_route(world, number)


@then(parsers.parse('open routes still serve through host-{number:d}'))
def check_open_route(world, number):
    reply = world.run(world.send(f'host-{number}', 'GET', OPEN_PATH))
    assert reply.status == 200, reply.text


@then('no target has seen a key')
def check_unseen(world):
    for process in world.deployment.targets_by_name.values():
        for execution in world.run(process.read_log())['executions']:
            names = {name.lower() for name in execution['headers']}
            assert 'authorization' not in names
