"""Engines are not believed to keep prompts that never reached them."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterator

import geranium_relay as relay
import pytest
from geranium_relay.peer_updates import name_hash

from .world import EVENTS, World, answer, failing

TARGETS = 6
REQUESTS = 20
KV_TOKENS = 500000
UNRUN = (relay.NotSentError('refused'), relay.NotRunError('full'))


def make_prompt(number: int) -> relay.Prompt:
    names = (f'shared-{number}', f'own-{number}')
    parts = tuple(relay.PromptPart(name, 10) for name in names)
    return relay.Prompt(20, 3, parts)


async def serve(world: World, number: int) -> relay.Outcome:
    outcome, _ = await world.serve(
        'stream', identity=f'r{number}', prompt=make_prompt(number)
    )
    return outcome


def believed(world: World) -> Iterator[tuple[int, str]]:
    """Yield the numbers of prompts and the engines believed to keep them."""
    caches = world.selector.prefix_caches.of_service('service', KV_TOKENS)
    keys = [target.key for target in world.fleet.targets_by_identity.values()]
    for number, key in itertools.product(range(REQUESTS), keys):
        if caches.cached_tokens(key, make_prompt(number).parts):
            yield number, key


def told(world: World) -> list[int]:
    """Return the hashes of the engines that other hosts are told of."""
    now = world.clock.now()
    dispatches, _ = world.outbox.take(relay.Audience.NEAR, now)
    return [dispatch.target for dispatch in dispatches]


@pytest.mark.parametrize('error', UNRUN)
async def test_engines_that_ran_nothing_keep_no_prompt(
    error: relay.RelayError,
) -> None:
    world = World(
        *itertools.repeat(failing(error), 4 * REQUESTS),
        engines=True,
        targets=TARGETS,
    )

    for number in range(REQUESTS):
        await serve(world, number)

    assert len(world.targets.calls) >= 2 * REQUESTS
    assert not list(believed(world))
    assert not told(world)


@pytest.mark.parametrize('error', UNRUN)
async def test_only_the_engine_that_ran_a_prompt_keeps_it(
    error: relay.RelayError,
) -> None:
    world = World(engines=True, targets=TARGETS)
    for _ in range(REQUESTS):
        world.targets.add_scripts(failing(error), answer(*EVENTS))

    for number in range(REQUESTS):
        assert await serve(world, number) == relay.Delivered(200)

    served = [call.target.key for call in world.targets.calls[1::2]]
    assert sorted(believed(world)) == list(enumerate(served))
    assert told(world) == list(map(name_hash, served))


async def test_prompt_of_another_request_is_kept_beside_a_refused_one() -> None:
    world = World(engines=True, targets=1)
    world.targets.add_scripts(answer(*EVENTS), failing(UNRUN[1]))

    for _ in range(2):
        await serve(world, 0)

    assert [number for number, _ in believed(world)] == [0]


async def test_concurrent_requests_find_the_engine_of_the_first_one() -> None:
    world = World(engines=True, targets=TARGETS)
    served = answer(*EVENTS)
    world.targets.add_scripts(*itertools.repeat(served, 4))

    requests = [serve(world, 0) for _ in range(4)]
    await asyncio.gather(*requests)
    targets = {call.target.key for call in world.targets.calls}

    assert len(targets) == 1


async def test_reader_that_was_not_reached_keeps_no_prompt() -> None:
    world = World(answer(*EVENTS), engines=True)
    world.targets.prefill_error = relay.NotSentError('no reader')
    world.place_isolated()
    assert not list(believed(world))

    await serve(world, 0)

    assert [key for _, key in believed(world)] == [world.targets.chosen]


@pytest.mark.parametrize(
    'error', [*UNRUN, relay.AnswerLostError('reset', broken=True)]
)
async def test_failed_link_to_a_reader_is_no_prefill_time(
    error: relay.RelayError,
) -> None:
    world = World(answer(*EVENTS), engines=True)
    world.place_isolated()
    world.targets.read_prompt = raising(error)
    times = record_prefill_times(world)

    await serve(world, 0)

    assert not times


async def test_prefill_that_takes_too_long_counts_as_slow() -> None:
    world = World(answer(*EVENTS), engines=True)
    world.place_isolated()
    world.targets.read_prompt = raising(TimeoutError())
    times = record_prefill_times(world)

    await serve(world, 0)

    assert len(times) == 1


def raising(error: Exception) -> Callable[..., Awaitable[relay.CacheHandle]]:
    async def read_prompt(_call: relay.TargetCall) -> relay.CacheHandle:
        raise error

    return read_prompt


def record_prefill_times(world: World) -> list[relay.Target]:
    """Return the list to which engines with measured prefills are added."""
    times = []
    world.selector.observe_latency = lambda target, _: times.append(target)
    return times
