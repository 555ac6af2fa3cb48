"""Prompts are placed by cached prefixes, load and zone of the engines."""

import dataclasses
import random

from geranium_policy.engine_rates import EngineRates
from geranium_policy.prompt_placement import (
    EngineState,
    NoEngine,
    Placement,
    PromptDemand,
    PromptPlacementSettings,
    PromptPlacer,
    TooBusy,
)

RATES = EngineRates(60000, 30000)
DEMAND = PromptDemand(tokens=17000, rank=2, target_latency_s=0.6, left_s=5)
GENERATOR = EngineState(
    name='generator',
    same_zone=True,
    prefill_only=False,
    slots=64,
    running=4,
    queued_tokens=0,
    cached_tokens=0,
    is_home=False,
    correction=1,
)
PREFILLER = dataclasses.replace(GENERATOR, name='reader', prefill_only=True)


def choose(*engines: EngineState, demand: PromptDemand = DEMAND) -> object:
    placer = PromptPlacer(PromptPlacementSettings(), random.Random(1))
    return placer.choose(demand, engines, RATES)


def test_prefers_the_engine_that_has_cached_the_prefix() -> None:
    cached = dataclasses.replace(GENERATOR, name='warm', cached_tokens=13300)

    found = choose(GENERATOR, cached, PREFILLER)

    assert isinstance(found, Placement)
    assert found.generator == 'warm'
    assert found.reader is None
    assert found.fresh_tokens == 3700


def test_long_uncached_prompt_goes_to_a_prefill_only_engine() -> None:
    found = choose(GENERATOR, PREFILLER)

    assert isinstance(found, Placement)
    assert (found.reader, found.generator) == ('reader', 'generator')


def test_queue_outweighs_a_cached_prefix() -> None:
    cached = dataclasses.replace(
        GENERATOR,
        name='warm',
        cached_tokens=13300,
        queued_tokens=30000,
    )

    found = choose(cached, GENERATOR, PREFILLER)

    assert isinstance(found, Placement)
    assert found.generator == 'generator'


def test_burst_beyond_all_queues_is_refused_with_the_expected_wait() -> None:
    """A burst on a fleet that has lost a zone: all queues are long."""
    engines = [
        dataclasses.replace(GENERATOR, name=f'e{rank}', queued_tokens=40000)
        for rank in range(4)
    ]

    found = choose(*engines)

    assert isinstance(found, TooBusy)
    assert found.free_in_s > DEMAND.target_latency_s


def test_long_prompts_are_not_refused_for_their_size() -> None:
    long = dataclasses.replace(DEMAND, tokens=53000)

    assert isinstance(choose(GENERATOR, PREFILLER, demand=long), Placement)


def test_more_urgent_requests_may_wait_longer() -> None:
    busy = dataclasses.replace(GENERATOR, queued_tokens=15000)
    urgent = dataclasses.replace(DEMAND, rank=0)

    assert isinstance(choose(busy, demand=urgent), Placement)
    assert isinstance(choose(busy), TooBusy)


def test_request_with_a_deadline_before_its_first_token_is_refused() -> None:
    late = dataclasses.replace(DEMAND, left_s=0.1)

    assert isinstance(choose(GENERATOR, PREFILLER, demand=late), TooBusy)


def test_slow_engine_is_avoided_until_it_recovers() -> None:
    slow = dataclasses.replace(GENERATOR, name='slow', correction=4)

    found = choose(slow, GENERATOR)

    assert isinstance(found, Placement)
    assert found.generator == 'generator'


def test_full_engines_take_nothing() -> None:
    full = dataclasses.replace(GENERATOR, running=64)

    assert isinstance(choose(full), TooBusy)


def test_prefill_only_engines_cannot_serve_alone() -> None:
    assert isinstance(choose(PREFILLER), NoEngine)
    assert isinstance(choose(), NoEngine)
