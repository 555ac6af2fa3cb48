"""Requests with one part in their prompts crash each target that runs them."""

import itertools

import geranium_relay as relay

from .world import EVENTS, FakeAnswer, World, answer, cut

HARMFUL = 'harmful'
FIRST = 'first'
CRASHES_BORNE = 3
REQUESTS = 20


def make_world() -> World:
    """Return a world whose targets crash under the harmful part."""
    world = World(engines=True, targets=30)
    world.targets.reachable = False

    def run_prompt(call: relay.TargetCall) -> FakeAnswer:
        parts = call.job.arrival.prompt.parts
        if all(part.identity != HARMFUL for part in parts):
            return answer(*EVENTS)(call)
        left = dict(world.fleet.targets_by_identity)
        left.pop(call.target.identity)
        world.fleet.replace(list(left.values()), world.clock.now())
        return cut()(call)

    world.targets.add_scripts(*itertools.repeat(run_prompt, 3 * REQUESTS))
    return world


def make_prompt(number: int, *shared: str) -> relay.Prompt:
    names = (FIRST, *shared, f'own-{number}')
    return relay.Prompt(
        30, 3, tuple(relay.PromptPart(name, 10) for name in names)
    )


async def serve(
    world: World, number: int, *shared: str, route: str = 'stream'
) -> relay.Outcome:
    outcome, _ = await world.serve(
        route,
        identity=f'r{number}',
        body=b'%d' % number,
        prompt=make_prompt(number, *shared),
    )
    return outcome


async def test_requests_with_a_part_that_crashes_targets_are_refused() -> None:
    world = make_world()

    outcomes = [
        await serve(world, number, HARMFUL) for number in range(REQUESTS)
    ]

    assert len(world.targets.calls) == CRASHES_BORNE
    assert all(
        isinstance(outcome, relay.Refused)
        for outcome in outcomes[CRASHES_BORNE:]
    )


async def test_request_is_not_sent_again_once_its_part_is_known() -> None:
    world = make_world()

    for number in range(REQUESTS):
        await serve(world, number, HARMFUL, route='resumable')

    assert len(world.targets.calls) == CRASHES_BORNE


async def test_requests_that_share_the_other_parts_are_served() -> None:
    world = make_world()
    outcomes = []
    for number in range(REQUESTS):
        await serve(world, number, 'other', HARMFUL)
        outcomes.append(await serve(world, REQUESTS + number, 'other'))

    assert set(outcomes) == {relay.Delivered(200)}
