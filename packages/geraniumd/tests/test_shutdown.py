"""A planned stop of a host cuts no request."""

import asyncio
import collections
import json
import signal
import time

import pytest
from geranium_standins.deployment import DeploymentSettings
from geranium_standins.managed_process import wait_until
from pytest_bdd import given, parsers, scenarios, then, when

from .world import COMPLETED

scenarios('features/shutdown.feature')

STREAMING_CALLERS = 6
CALLING_CALLERS = 3
STREAM_TOKENS = 400


@pytest.fixture(scope='module')
def deployment_settings():
    return DeploymentSettings(
        daemon_settings={
            'gateway': {'address_ttl_s': 1},
            'shutdown': {'linger_s': 3},
        }
    )


class Addresses:
    """The hosts that a caller was told, until that expires."""

    def __init__(self, world):
        self._world = world
        self._hosts = list(world.deployment.daemons_by_host)
        self._expires_at = 0

    async def choose(self, number):
        if time.monotonic() >= self._expires_at:
            await self._ask()
        return self._hosts[number % len(self._hosts)]

    async def _ask(self):
        for host in self._hosts:
            asked_at = time.monotonic()
            reply = await self._world.send(host, 'GET', '/v1/hosts')
            if reply.status == 200:
                listing = json.loads(reply.text)
                self._hosts = [row['host'] for row in listing['hosts']]
                self._expires_at = asked_at + listing['expires_in_ms'] / 1000
                return


class Callers:
    """Callers who go on until they are stopped."""

    def __init__(self, world):
        self._world = world
        self._stopped = False
        self._tasks = []
        self.replies_by_host = collections.defaultdict(list)

    def start(self):
        for number in range(STREAMING_CALLERS):
            self._tasks.append(asyncio.create_task(self._go(number, True)))
        for number in range(CALLING_CALLERS):
            self._tasks.append(asyncio.create_task(self._go(number, False)))

    async def stop(self):
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def _go(self, number, streams):
        addresses = Addresses(self._world)
        while not self._stopped:
            host = await addresses.choose(number)
            reply = await self._send(host, f'caller-{number}', streams)
            self.replies_by_host[host].append(reply)
            number += 1

    async def _send(self, host, name, streams):
        if streams:
            return await self._world.send_chat(host, name, STREAM_TOKENS)
        path = '/apps/app/orders'
        return await self._world.send(host, 'POST', path, data=b'card')


@pytest.fixture
def callers(world):
    return Callers(world)


@given('callers stream and call through the hosts that they are told')
def start_callers(world, callers):
    async def start():
        callers.start()

        async def all_used():
            hosts = world.deployment.daemons_by_host
            return all(callers.replies_by_host[host] for host in hosts)

        await wait_until(all_used)

    world.run(start())


@when(parsers.parse('{host} is told to stop'))
def stop_host(world, host):
    world.deployment.daemons_by_host[host].send(signal.SIGTERM)


@then(parsers.parse('{host} ends by itself without an error'))
def check_exit(world, host):
    process = world.deployment.daemons_by_host[host]
    assert world.run(process.wait()) == 0


@then(parsers.parse('no host names {host} to callers'))
def check_addresses(world, host):
    for other, process in world.deployment.daemons_by_host.items():
        if process.is_running:
            reply = world.run(world.send(other, 'GET', '/v1/hosts'))
            listing = json.loads(reply.text)
            assert host not in {row['host'] for row in listing['hosts']}


@then('no request of the callers was cut or refused')
def check_requests(world, callers):
    world.run(callers.stop())
    for host, replies in callers.replies_by_host.items():
        assert replies
        for reply in replies:
            assert reply.outcome == COMPLETED, (host, reply)
