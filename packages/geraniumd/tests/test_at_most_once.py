"""Non-idempotent calls run at most once, regardless of failures."""

import asyncio
import random

from pytest_bdd import given, parsers, scenarios, then, when

from .world import COMPLETED

scenarios('features/at_most_once.feature')

MAX_PAUSE_S = 0.05


@given(parsers.parse('order "{name}" is running through {host}'))
def start_order(world, name, host):
    async def start():
        sending = world.send_order(name, host)
        world.tasks_by_name[name] = asyncio.create_task(sending)
        await world.wait_executed(name)

    world.run(start())


@when(parsers.parse('"{name}" is put to {path} through {host}'))
def put(world, name, path, host):
    headers = {'Request-Id': name}
    reply = world.run(world.send(host, 'PUT', path, headers, data=b'x'))
    world.responses_by_name[name].append(reply)


@when(
    parsers.parse(
        '{count:d} orders are sent through all hosts at once with seed {seed:d}'
    )
)
def send_at_once(world, count, seed):
    rng = random.Random(seed)

    async def send(name, host, pause_s):
        await asyncio.sleep(pause_s)
        await world.send_order(name, host)

    async def send_all():
        await asyncio.gather(
            *(
                send(f'race-{seed}-{number}', host, rng.uniform(0, MAX_PAUSE_S))
                for number in range(count)
                for host in world.deployment.daemons_by_host
            )
        )

    world.run(send_all())


@then('each of them ran 1 time')
def check_each(world):
    for name in world.responses_by_name:
        assert len(world.run(world.executions(name))) == 1, name


@then(parsers.parse('the responses to "{name}" match its executions'))
def check_truth(world, name):
    replies = world.responses_by_name[name]
    executions = world.run(world.executions(name))
    answers = {reply.text for reply in replies if reply.outcome == COMPLETED}
    assert len(answers) == len(executions)


@then('the responses to them match their executions')
def check_all_truths(world):
    for name in world.responses_by_name:
        check_truth(world, name)
