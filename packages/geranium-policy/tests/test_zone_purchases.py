"""Zones are filled with reclaimable targets, and with others without them."""

import pytest
from geranium_policy.zone_purchases import (
    PurchaseBounds,
    ZoneOrder,
    ZonePurchasePlanner,
    ZonePurchaseSettings,
    ZoneTargets,
)

BOUNDS = PurchaseBounds(least=1, most=6)


@pytest.fixture
def purchases() -> ZonePurchasePlanner:
    return ZonePurchasePlanner(ZonePurchaseSettings())


def plan(
    purchases: ZonePurchasePlanner,
    holdings: ZoneTargets,
    now: float = 0,
    *,
    idle: bool = False,
) -> ZoneOrder:
    by_zone = {'a': holdings}
    found = purchases.plan(BOUNDS, by_zone, now, idle=idle)
    return found['a']


def test_idle_zone_is_replaced_at_once(purchases: ZonePurchasePlanner) -> None:
    found = plan(purchases, ZoneTargets(3, 0), idle=True)

    assert found == ZoneOrder(1, 5)


def test_loaded_zone_is_filled_before_anything_is_given_back(
    purchases: ZonePurchasePlanner,
) -> None:
    assert plan(purchases, ZoneTargets(3, 0)) == ZoneOrder(3, 3)
    assert plan(purchases, ZoneTargets(3, 2)) == ZoneOrder(3, 3)


def test_full_loaded_zone_is_replaced_in_steps(
    purchases: ZonePurchasePlanner,
) -> None:
    assert plan(purchases, ZoneTargets(5, 1)) == ZoneOrder(3, 3)
    assert plan(purchases, ZoneTargets(3, 3)) == ZoneOrder(1, 5)


def test_large_zone_is_replaced_in_as_many_steps_as_a_small_one(
    purchases: ZonePurchasePlanner,
) -> None:
    """Thirty on-demand targets stand in for reclaimable ones that are back."""
    bounds = PurchaseBounds(least=1, most=30)
    holdings = ZoneTargets(29, 1)
    steps = 0
    while holdings.on_demand > 1:
        order = purchases.plan(bounds, {'a': holdings}, 0, idle=False)['a']
        holdings = ZoneTargets(order.on_demand, order.reclaimable)
        steps += 1

    assert steps == 3
    assert holdings == ZoneTargets(1, 29)


def test_reclaimed_zone_is_filled_with_others_under_load(
    purchases: ZonePurchasePlanner,
) -> None:
    """A zone is taken away inside a burst and none are to be had for a while."""
    purchases.record_unavailable('a', now=10)

    during = plan(purchases, ZoneTargets(1, 0), now=11)
    starting = plan(purchases, ZoneTargets(1, 0), now=14)
    back = plan(purchases, ZoneTargets(5, 1), now=16)

    assert during == ZoneOrder(5, 0)
    assert starting == ZoneOrder(5, 1)
    assert back == ZoneOrder(3, 3)


def test_never_below_what_must_be_kept(purchases: ZonePurchasePlanner) -> None:
    bounds = PurchaseBounds(least=2, most=2)

    by_zone = {'a': ZoneTargets(2, 0)}
    found = purchases.plan(bounds, by_zone, 0, idle=True)

    assert found['a'] == ZoneOrder(2, 0)
