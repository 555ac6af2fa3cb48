"""Admission depends on the content and the age of the catalogue."""

import itertools

import geranium_relay as relay
import pytest

from .world import World, answer


@pytest.mark.parametrize('key', [None, 'other'])
async def test_unknown_key_is_rejected(key: str | None) -> None:
    outcome, _ = await World().serve('safe', key)

    assert outcome == relay.UnknownKey()


async def test_public_route_needs_no_key() -> None:
    outcome, _ = await World(answer(b'yes')).serve('open', None)

    assert outcome == relay.Delivered(200)


async def test_unknown_route_is_not_found() -> None:
    outcome, _ = await World().serve('other')

    assert outcome == relay.UnknownRoute()


async def test_stale_catalogue_admits_no_key_and_denies_no_route() -> None:
    world = World()
    world.view = relay.CatalogueView(
        relay.FreshnessSettings(5), world.clock.now
    )
    read_at = world.clock.now() - 4.9
    world.view.accept(world._catalogue(engines=False), read_at)
    world.relay = world._make_relay(engines=False)

    keyed, _ = await world.serve('safe')
    unknown, _ = await world.serve('other')

    assert isinstance(keyed, relay.Refused)
    assert isinstance(unknown, relay.Refused)


@pytest.mark.parametrize('weights', [(), (0,), (0, 0)])
async def test_route_without_a_service_is_refused_as_not_run(
    weights: tuple[float, ...],
) -> None:
    world = World()
    shares = tuple(relay.Share('service', weight) for weight in weights)
    world.replace_routes(shares)

    outcome, _ = await world.serve('safe')

    assert isinstance(outcome, relay.Refused)


async def test_routes_split_by_weight() -> None:
    world = World(*itertools.repeat(answer(b'yes'), 200))
    world.replace_routes(
        (relay.Share('service', 9), relay.Share('elsewhere', 1)),
    )

    outcomes = [(await world.serve('safe'))[0] for _ in range(200)]

    served = outcomes.count(relay.Delivered(200))
    assert 160 <= served < 200
