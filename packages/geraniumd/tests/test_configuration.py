"""Accepted configuration changes apply on all hosts and never revert."""

import asyncio
import json

import pytest
from geranium_standins.deployment import DeploymentSettings
from geranium_standins.managed_process import wait_until
from pytest_bdd import parsers, scenarios, then, when

scenarios('features/configuration.feature')

LOADED = 1


@pytest.fixture(scope='module')
def deployment_settings():
    return DeploymentSettings(engines=1, targets=1)


def version(reply):
    """Return the version in the response to an accepted change."""
    assert reply.status == 200, reply.text
    table = json.loads(reply.text)
    return table['rows'][0][table['columns'].index('version')]


async def versions_by_host(world):
    """Return the version that each running host reports for itself."""
    shown = {}
    for host, process in world.deployment.daemons_by_host.items():
        if not process.is_running:
            continue
        reply = await world.statement('show configuration', host)
        for row_host, row_version, *_ in json.loads(reply.text)['rows']:
            if row_host == host:
                shown[host] = row_version
    return shown


def accepted(world, change):
    replies = world.responses_by_name[change]
    return [version(reply) for reply in replies if reply.status == 200]


@when(
    parsers.parse('operator {author} orders "{statement}" as change "{change}"')
)
def order_change(world, author, statement, change):
    reply = world.run(
        world.statement(statement, operation_id=change, author=author)
    )
    world.responses_by_name[change].append(reply)


@when('ann and bob each order a weight at the present version at once')
def race(world):
    async def order_both():
        present = max((await versions_by_host(world)).values())
        orders = (
            world.statement(
                f'set team registry weight {weight} if version {present}',
                host,
                author=author,
            )
            for author, host, weight in (
                ('ann', 'host-1', 5),
                ('bob', 'host-2', 6),
            )
        )
        return dict(
            zip(('ann', 'bob'), await asyncio.gather(*orders), strict=True)
        )

    for author, reply in world.run(order_both()).items():
        world.responses_by_name[author].append(reply)


@then('one of them succeeds and the other gets the name of the first')
def check_race(world):
    replies = {
        name: world.responses_by_name[name][0] for name in ('ann', 'bob')
    }
    first, second = sorted(replies, key=lambda name: replies[name].status)
    assert replies[first].status == 200, replies[first].text
    assert replies[second].status == 409, replies[second].text
    assert f'{first} came first' in replies[second].text.decode()


@then(
    parsers.parse('both responses to change "{change}" have the same version')
)
def check_same_version(world, change):
    versions = accepted(world, change)
    assert len(versions) >= 2, world.responses_by_name[change]
    assert len(set(versions)) == 1


@then(parsers.parse('change "{change}" is in force on every host'))
def check_in_force(world, change):
    wanted = accepted(world, change)[0]

    async def is_in_force():
        shown = await versions_by_host(world)
        return len(shown) == 3 and min(shown.values()) >= wanted

    world.run(wait_until(is_in_force))


@then(parsers.parse('no host shows a version before change "{change}"'))
def check_not_reverted(world, change):
    wanted = accepted(world, change)[0]
    shown = world.run(versions_by_host(world))
    # A host without a loaded configuration reports a version below LOADED
    # and serves no requests.
    loaded = {host: seen for host, seen in shown.items() if seen >= LOADED}
    assert all(seen >= wanted for seen in loaded.values()), shown


@then(parsers.parse('the weight of team "{team}" is {weight:d}'))
def check_weight(world, team, weight):
    reply = world.run(world.statement('show teams columns team, weight'))
    assert [team, weight] in json.loads(reply.text)['rows']
