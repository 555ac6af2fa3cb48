"""Runs that end because their target crashes are no attempts of a route."""

import itertools

import geranium_relay as relay
import pytest

from .world import EVENTS, World, answer, failing

PROMPT = relay.Prompt(10, 10, (relay.PromptPart('p', 10),))
BROKEN = failing(relay.AnswerLostError('reset', broken=True))


def make_world(*, crashes: int, lost: int = 0) -> World:
    """Return a host whose first calls end as their targets crash.

    Args:
        crashes: How many targets crash.
        lost: After how many lost responses of targets that serve on.
    """
    broken = itertools.repeat(BROKEN, lost + crashes)
    world = World(*broken, answer(b'yes'))

    async def is_reachable(target: relay.Target) -> bool:
        called = [call.target for call in world.targets.calls]
        return target not in called[lost : lost + crashes]

    world.targets.is_reachable = is_reachable
    return world


@pytest.mark.parametrize(
    ('route', 'crashes', 'lost', 'calls'),
    [('once', 1, 0, 2), ('safe', 1, 1, 3)],
)
async def test_crash_of_the_target_is_no_attempt(
    route: str, crashes: int, lost: int, calls: int
) -> None:
    """Requests that may be repeated ended as 502 with seconds left."""
    world = make_world(crashes=crashes, lost=lost)

    outcome, _ = await world.serve(route)

    assert outcome == relay.Delivered(200)
    assert len(world.targets.calls) == calls


@pytest.mark.parametrize(
    ('route', 'crashes', 'lost', 'calls'),
    [
        pytest.param('unsafe', 1, 0, 1, id='unsafe'),
        pytest.param('once', 0, 1, 1, id='target serves on'),
        pytest.param('once', 3, 0, 2, id='request is the cause'),
    ],
)
async def test_other_runs_are_not_repeated(
    route: str, crashes: int, lost: int, calls: int
) -> None:
    """Unsafe requests run once, and harmful ones must not end all targets."""
    world = make_world(crashes=crashes, lost=lost)

    outcome, _ = await world.serve(route)

    assert isinstance(outcome, relay.Failed)
    assert len(world.targets.calls) == calls


async def test_crash_of_the_engine_that_prefills_is_remembered() -> None:
    """A prompt that ends the engines which prefill it was sent on and on."""
    world = World(answer(*EVENTS), engines=True)
    world.place_isolated()
    world.targets.prefill_error = relay.AnswerLostError('reset', broken=True)
    reader = next(iter(world.fleet.targets_by_identity.values()))

    async def is_reachable(target: relay.Target) -> bool:
        return target != reader

    world.targets.is_reachable = is_reachable
    outcome, _ = await world.serve('stream', prompt=PROMPT)

    assert outcome == relay.Delivered(200)
    assert 'request_suspected' in ''.join(world.lines)
