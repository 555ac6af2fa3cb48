"""Stopping a host with SIGTERM interrupts no request."""

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


class HostList:
    """Cached list of hosts of a caller."""

    def __init__(self, world):
        self._world = world
        self._hosts = list(world.deployment.daemons_by_host)
        self._expires_at = 0

    async def select(self, number):
        if time.monotonic() >= self._expires_at:
            await self._refresh()
        return self._hosts[number % len(self._hosts)]

    async def _refresh(self):
        for host in self._hosts:
            requested_at = time.monotonic()
            response = await self._world.send(host, 'GET', '/v1/hosts')
            if response.status == 200:
                listing = json.loads(response.text)
                self._hosts = [row['host'] for row in listing['hosts']]
                self._expires_at = (
                    requested_at + listing['expires_in_ms'] / 1000
                )
                return


class Callers:
    """Callers that send requests until they are stopped."""

    def __init__(self, world):
        self._world = world
        self._stopped = False
        self._tasks = []
        self.responses_by_host = collections.defaultdict(list)

    def start(self):
        for number in range(STREAMING_CALLERS):
            self._tasks.append(
                asyncio.create_task(self._send_until_stopped(number, True))
            )
        for number in range(CALLING_CALLERS):
            self._tasks.append(
                asyncio.create_task(self._send_until_stopped(number, False))
            )

    async def stop(self):
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def _send_until_stopped(self, number, streams):
        addresses = HostList(self._world)
        while not self._stopped:
            host = await addresses.select(number)
            response = await self._send(host, f'caller-{number}', streams)
            self.responses_by_host[host].append(response)
            number += 1

    async def _send(self, host, name, streams):
        if streams:
            return await self._world.send_chat(host, name, STREAM_TOKENS)
        path = '/apps/app/orders'
        return await self._world.send(host, 'POST', path, data=b'card')


@pytest.fixture
def callers(world):
    return Callers(world)


@given('callers stream and call through the listed hosts')
def start_callers(world, callers):
    async def start():
        callers.start()

        async def all_used():
            hosts = world.deployment.daemons_by_host
            return all(callers.responses_by_host[host] for host in hosts)

        await wait_until(all_used)

    world.run(start())


@when(parsers.parse('{host} receives SIGTERM'))
def stop_host(world, host):
    world.deployment.daemons_by_host[host].send(signal.SIGTERM)


@then(parsers.parse('{host} ends by itself without an error'))
def check_exit(world, host):
    process = world.deployment.daemons_by_host[host]
    assert world.run(process.wait()) == 0


@then(parsers.parse('no host lists {host} for callers'))
def check_addresses(world, host):
    for other, process in world.deployment.daemons_by_host.items():
        if process.is_running:
            response = world.run(world.send(other, 'GET', '/v1/hosts'))
            listing = json.loads(response.text)
            assert host not in {row['host'] for row in listing['hosts']}


@then('no request of the callers was interrupted or refused')
def check_requests(world, callers):
    world.run(callers.stop())
    for host, responses in callers.responses_by_host.items():
        assert responses
        for response in responses:
            assert response.outcome == COMPLETED, (host, response)
