"""Hosts of a large fleet use the rates that all of them have observed."""

import dataclasses

import geranium_relay as relay
import pytest
from geranium_policy.prompt_placement import Placement
from geranium_relay.peer_updates import name_hash
from geranium_relay.rate_observations import RateObservation
from geranium_relay.shared_rates import FIRST_TOKEN_S

from .test_ranks import job
from .world import World

PROFILE = relay.EngineProfile(64, 500_000)
TOKENS = 10_000
JOB = job(200)
PROMPT = relay.Prompt(TOKENS, 10, (relay.PromptPart('own', TOKENS),))
LONG_JOB = dataclasses.replace(
    JOB, arrival=dataclasses.replace(JOB.arrival, prompt=PROMPT)
)


def place(world: World) -> Placement:
    now = world.clock.now()
    waiting = dataclasses.replace(LONG_JOB, deadline=now + 100)
    placement = world.selector.select_engines(waiting, PROFILE, frozenset())
    assert isinstance(placement, Placement)
    return placement


def make_world(*, is_large: bool) -> World:
    """Return a host whose peers have seen one fast engine among slow ones."""
    world = World(engines=True, targets=3)
    log = relay.DecisionLog(
        relay.LogSettings(), world.lines.append, world.clock.now
    )
    rates = relay.SharedRates(lambda: is_large, log)
    world.selector.shared_rates = rates
    keys_by_hash = {
        name_hash(target.key): target.key
        for target in world.fleet.targets_by_identity.values()
    }
    observations = [
        RateObservation(name_hash(key), 100_000 if key == 't1@1' else 50_000, 1)
        for key in keys_by_hash.values()
    ]
    now = world.clock.now()
    for _ in range(20):
        rates.record_peer(
            observations, keys_by_hash, world.selector.target, now
        )
    return world


def test_large_fleet_uses_the_rates_that_peers_have_seen() -> None:
    world = make_world(is_large=True)

    placement = place(world)

    assert placement.generator == 't1@1'
    assert placement.first_s == pytest.approx(0.12, abs=0.02)


def test_small_fleet_uses_the_configured_rates() -> None:
    """Hosts of small fleets see enough by themselves."""
    world = make_world(is_large=False)

    assert place(world).first_s == pytest.approx(0.42)


@pytest.mark.parametrize('ahead', [0, 20_000])
def test_observed_rate_contains_the_assumed_queue(ahead: int) -> None:
    """The time for a prompt and the queue before it is compared with both."""
    world = make_world(is_large=True)
    now = world.clock.now()
    target = world.fleet.targets_by_identity['t1']
    taken_s = FIRST_TOKEN_S + (TOKENS + ahead) / 40_000
    dispatch = relay.Dispatch(
        target.key, 0, TOKENS, now - taken_s, 1, ahead_tokens=ahead
    )

    world.selector.observe_latency(target, dispatch)

    seen = world.selector.shared_rates.queue.take(relay.Audience.FAR)[0]
    assert seen.tokens_per_s == pytest.approx(40_000, rel=0.01)
    assert seen.weight == pytest.approx(TOKENS / (TOKENS + ahead))
    assert any('"engine_rates"' in line for line in world.lines)
