"""Routing weighs cached prefixes against load, including unreported load."""

import dataclasses

import pytest
from geranium_model import Role
from geranium_policy import InFlight, Router, RouterSettings
from geranium_policy.cost_routing import LeastCost
from geranium_policy.routing import LeastLoaded, RandomOfTwo, RoundRobin
from geranium_policy.spreads import (
    BestOfSample,
    Cheapest,
    NearEqual,
    OwnedFirst,
)


def router_of(policy=None, seed=1):
    return Router(RouterSettings(policy or LeastCost(), seed))


def chosen(router, profile, views, now=0):
    return router.choose(profile, views, now).engine.name


@pytest.fixture
def views(make_view):
    return [make_view(f'e-{number}') for number in range(1, 5)]


@pytest.fixture
def pair(views):
    return views[:2]


def test_cached_prefix_attracts_a_request_until_load_outweighs_it(
    pair, profile
):
    pair[1].record_dispatch(profile, now=0)
    pair[1].record_end('r-1', now=1)
    router = router_of()
    assert chosen(router, profile, pair, now=1) == 'e-2'
    other = dataclasses.replace(profile, prefix_hashes=())
    for number in range(4):
        named = dataclasses.replace(other, request_id=f'other-{number}')
        pair[1].record_dispatch(named, now=1)
    assert chosen(router, profile, pair, now=1) == 'e-1'


def test_local_dispatches_count_before_a_report_includes_them(
    pair,
    profile,
    make_load,
):
    for view in pair:
        view.apply_load(make_load(view.engine.name, sampled_at=10))
    router = router_of(LeastCost(spread=Cheapest()))
    unshared = dataclasses.replace(profile, prefix_hashes=())
    names = []
    for number in range(6):
        named = dataclasses.replace(unshared, request_id=f'r-{number}')
        names.append(chosen(router, named, pair, now=11))
        pair[names[-1] == 'e-2'].record_dispatch(named, now=11)
    assert names.count('e-1') == names.count('e-2')


def test_peer_counts_are_used_where_they_exceed_the_report(pair, profile):
    pair[0].peers = InFlight(requests=20, prefill_tokens=9000)
    assert chosen(router_of(), profile, pair) == 'e-2'


def test_full_memory_sends_a_request_elsewhere(pair, profile, make_load):
    pair[0].apply_load(make_load('e-1', 0, kv_pieces_used=1990))
    pair[1].apply_load(make_load('e-2', 0, kv_pieces_used=100, running=5))
    assert chosen(router_of(), profile, pair) == 'e-2'


def test_only_a_long_uncached_prompt_is_prefilled_separately(
    make_view, profile
):
    views = [make_view('p-1', Role.PREFILL), make_view('d-1', Role.DECODE)]
    choice = router_of().choose(profile, views, now=0)
    assert choice.engine.name == 'd-1'
    assert choice.prefill_engine.name == 'p-1'
    views[1].record_dispatch(profile, now=0)
    choice = router_of().choose(profile, views, now=1)
    assert choice.engine.name == 'd-1'
    assert choice.prefill_engine is None


def test_mixed_engine_leaves_prompts_to_an_idle_prefill_engine(
    make_view,
    profile,
):
    views = [make_view('p-1', Role.PREFILL), make_view('m-1')]
    assert router_of().choose(profile, views, now=0).prefill_engine is None
    views[1].peers = InFlight(requests=4, prefill_tokens=9000)
    choice = router_of().choose(profile, views, now=0)
    assert choice.engine.name == 'm-1'
    assert choice.prefill_engine.name == 'p-1'


@pytest.mark.parametrize('role', list(Role))
def test_any_role_serves_where_it_is_the_only_one(make_view, profile, role):
    assert chosen(router_of(), profile, [make_view('e-1', role)]) == 'e-1'


@pytest.mark.parametrize(
    'policy',
    [
        RoundRobin(),
        LeastLoaded(),
        RandomOfTwo(),
        LeastCost(),
        LeastCost(spread=Cheapest()),
        LeastCost(spread=BestOfSample()),
        LeastCost(spread=OwnedFirst('host-1')),
    ],
)
def test_only_accepting_engines_are_chosen(views, profile, make_load, policy):
    views[0].usable = False
    views[1].apply_load(make_load('e-2', 0, accepting=False))
    router = router_of(policy)
    names = {chosen(router, profile, views) for _ in range(50)}
    assert names <= {'e-3', 'e-4'}
    assert router.choose(profile, views[:2], now=0) is None


@pytest.mark.parametrize(
    ('spread', 'crowds'),
    [
        (Cheapest(), range(9, 10)),
        (NearEqual(), range(1, 6)),
        (BestOfSample(), range(1, 6)),
    ],
)
def test_only_a_spread_prevents_herding_of_equal_daemons(
    make_view,
    profile,
    spread,
    crowds,
):
    """Nine daemons choose concurrently without each other's dispatches."""
    names = []
    for daemon in range(9):
        router = router_of(LeastCost(spread=spread), seed=daemon)
        engines = [make_view(f'e-{number}') for number in range(9)]
        names.append(chosen(router, profile, engines))
    assert max(map(names.count, names)) in crowds


def test_cached_prefix_is_found_among_many_engines(make_view, profile):
    views = [make_view(f'e-{number}') for number in range(60)]
    views[41].record_dispatch(profile, now=0)
    views[41].record_end('r-1', now=1)
    router = router_of()
    names = [chosen(router, profile, views, now=1) for _ in range(20)]
    assert set(names) == {'e-41'}


def test_owned_engines_differ_between_daemons_and_yield_to_load(
    make_view,
    profile,
):
    views = [make_view(f'e-{number}') for number in range(9)]
    names = {
        chosen(
            router_of(LeastCost(spread=OwnedFirst(f'host-{daemon}'))),
            profile,
            views,
        )
        for daemon in range(9)
    }
    assert len(names) > 1
