"""Fixtures and step definitions shared by the scenarios."""

import pytest
from geranium_standins.deployment import DeploymentSettings
from geranium_standins.managed_process import wait_until
from pytest_bdd import given, parsers, then, when

from .world import COMPLETED, World


@pytest.fixture(scope='module')
def deployment_settings():
    return DeploymentSettings()


@pytest.fixture(scope='module')
def world(deployment_settings):
    running = World(deployment_settings)
    running.open()
    yield running
    running.close()


@given('the deployment is healthy')
def heal(world):
    world.run(world.heal())


@when(parsers.parse('{host} is killed'))
def kill_host(world, host):
    process = world.deployment.daemons_by_host[host]
    process.kill()
    world.run(process.wait())


@when(parsers.parse('{host} is started again'))
def restart_host(world, host):
    deployment = world.deployment
    number = list(deployment.daemons_by_host).index(host) + 1
    zone = deployment.settings.zone_of(number)
    world.run(deployment.add_daemon(host, zone))


@given('the platform is down')
@when('the platform goes down')
def begin_outage(world):
    world.run(world.deployment.platform.put_faults(outage=True))


@given(
    parsers.parse(
        'the platform loses the responses to {count:d} writes and {how}'
    )
)
def lose_answers(world, count, how):
    world.run(
        world.deployment.platform.put_faults(
            lose_answers=count,
            lost_answers_hang=how.startswith('holds'),
        )
    )


@when('the platform comes back')
def end_platform_faults(world):
    world.run(world.deployment.platform.put_faults())


@given('every target drops its next call after running it')
def drop_after_run(world):
    world.run(world.put_target_faults(drop_after_run=1))


@given(parsers.parse('every target takes {delay:d} ms to respond'))
def delay_targets(world, delay):
    world.run(world.put_target_faults(delay_ms=delay))


@when('the targets work again')
def end_target_faults(world):
    world.run(world.put_target_faults())


@given(parsers.parse('an operator executes "{statement}"'))
@when(parsers.parse('an operator executes "{statement}"'))
def order(world, statement):
    response = world.run(world.statement(statement))
    assert response.status == 200, response.text


@when(
    parsers.re(
        'order "(?P<name>[^"]+)" is sent(?: again)? through (?P<host>[^ ]+)'
    )
)
def send_order(world, name, host):
    world.run(world.send_order(name, host))


@when(parsers.parse('order "{name}" is sent through {host} until it completes'))
def send_until_answered(world, name, host):
    async def is_answered():
        response = await world.send_order(name, host)
        return response.outcome == COMPLETED

    world.run(wait_until(is_answered))


@then(parsers.parse('the outcome of "{name}" is "{outcome}"'))
def check_outcome(world, name, outcome):
    response = world.responses_by_name[name][-1]
    assert response.outcome == outcome, response.text


@then(parsers.parse('the response to "{name}" has a retry delay'))
def check_retry_after(world, name):
    response = world.responses_by_name[name][-1]
    assert int(response.headers['Retry-After']) >= 1


@then(parsers.parse('"{name}" ran {times:d} times'))
@then(parsers.parse('"{name}" ran {times:d} time'))
def check_executions(world, name, times):
    executions = world.run(world.executions(name))
    assert len(executions) == times
