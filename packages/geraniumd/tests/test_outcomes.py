"""Each request has one correct outcome, and responses are complete."""

import asyncio
import json

from geranium_standins.managed_process import wait_until
from pytest_bdd import given, parsers, scenarios, then, when

scenarios('features/outcomes.feature')

STREAM_TOKENS = 150
BEGUN_TOKENS = 20
CUT_AFTER_TOKENS = 60
ENGINE_FAULTS = {
    'cuts its streams': {'cut_after': CUT_AFTER_TOKENS},
    'stalls its streams': {'stall_after': CUT_AFTER_TOKENS},
    'loses its connections': {'silence_connections': True},
}


def content(reply):
    """Check that a stream ended with one ``[DONE]`` and return its text."""
    events = reply.text.decode().split('\n\n')
    ends = [event for event in events if event.endswith('data: [DONE]')]
    assert len(ends) == 1, reply.text[-500:]
    assert 'event: error' not in reply.text.decode()
    payloads = [event.partition('data: ')[2] for event in events]
    chunks = [
        json.loads(payload) for payload in payloads if payload.startswith('{')
    ]
    return ''.join(
        choice['delta'].get('content') or ''
        for chunk in chunks
        for choice in chunk['choices']
    )


def uncut_chat(world):
    world.run(world.put_engine_faults())
    reply = world.run(world.send_chat('host-1', 'uncut', STREAM_TOKENS))
    text = content(reply)
    assert len(text.split()) == STREAM_TOKENS
    return text


@given('every target refuses calls')
def refuse_calls(world):
    world.run(world.put_target_faults(refuse=True))


@given('every target fails after running')
def fail_calls(world):
    world.run(world.put_target_faults(fail=True))


@given('every engine is silent')
def silence_engines(world):
    world.run(world.put_engine_faults(silent=True))


@given(parsers.parse('engine-{number:d} is silent'))
def silence_engine(world, number):
    process = world.deployment.engines_by_name[f'engine-{number}']
    world.run(process.put_faults(silent=True))


@given(
    parsers.parse(
        "every engine begins its next {count:d} streams with another's events"
    )
)
def cross_streams(world, count):
    world.run(world.put_engine_faults(crossed=count))


@given(parsers.parse('stream "{name}" runs through {host}'))
def begin_stream(world, name, host):
    async def begin():
        sending = world.send_chat(host, name, STREAM_TOKENS)
        world.tasks_by_name[name] = asyncio.create_task(sending)

        async def has_begun():
            text = world.received_by_name.get(name, b'')
            return text.count(b'data: ') >= BEGUN_TOKENS

        await wait_until(has_begun)

    world.run(begin())


@when(parsers.parse('the engine that runs it {fails}'))
def fail_engine(world, fails):
    async def fail():
        engine = await world.busy_engine()
        if fails == 'is killed':
            engine.kill()
        else:
            await engine.put_faults(**ENGINE_FAULTS[fails])

    world.run(fail())


@when('every engine loses its connections')
def lose_connections(world):
    world.run(world.put_engine_faults(silence_connections=True))


@when('every engine is killed')
def kill_engines(world):
    async def kill():
        for process in world.deployment.engines_by_name.values():
            process.kill()
            await process.wait()

    world.run(kill())


@given(parsers.parse('{count:d} chats are sent through {host}'))
@when(parsers.parse('{count:d} chats are sent through {host}'))
def send_chats(world, count, host):
    async def send():
        sending = (
            world.send_chat(host, f'chat-{number}', STREAM_TOKENS)
            for number in range(count)
        )
        await asyncio.gather(*sending)

    world.run(send())


@when(
    parsers.parse(
        'chat "{name}" is sent through {host} with {spare:d} ms until its deadline'
    )
)
def send_chat(world, name, host, spare):
    headers = {'Request-Deadline-Ms': str(spare)}
    world.run(world.send_chat(host, name, STREAM_TOKENS, headers))


@then(
    parsers.parse('"{name}" is complete and identical to an uninterrupted chat')
)
def check_stream(world, name):
    reply = world.run(world.wait_for(name))[-1]
    assert reply.status == 200, reply.text
    assert content(reply) == uncut_chat(world)


@then('each of them is complete and identical to an uninterrupted chat')
def check_chats(world):
    expected = uncut_chat(world)
    for name, replies in world.responses_by_name.items():
        for reply in replies:
            assert reply.status == 200, (name, reply.text)
            assert content(reply) == expected, name
