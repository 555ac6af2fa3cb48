"""Zones are filled with reclaimable targets, else with on-demand ones."""

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
def planner() -> ZonePurchasePlanner:
    return ZonePurchasePlanner(ZonePurchaseSettings())


def plan(
    planner: ZonePurchasePlanner,
    targets: ZoneTargets,
    now: float = 0,
    *,
    idle: bool = False,
) -> ZoneOrder:
    by_zone = {'a': targets}
    planned = planner.plan(BOUNDS, by_zone, now, idle=idle)
    return planned['a']


def test_idle_zone_is_replaced_at_once(planner: ZonePurchasePlanner) -> None:
    planned = plan(planner, ZoneTargets(3, 0), idle=True)

    assert planned == ZoneOrder(1, 5)


def test_loaded_zone_is_filled_before_targets_are_returned(
    planner: ZonePurchasePlanner,
) -> None:
    assert plan(planner, ZoneTargets(3, 0)) == ZoneOrder(3, 3)
    assert plan(planner, ZoneTargets(3, 2)) == ZoneOrder(3, 3)


def test_full_loaded_zone_is_replaced_in_steps(
    planner: ZonePurchasePlanner,
) -> None:
    assert plan(planner, ZoneTargets(5, 1)) == ZoneOrder(3, 3)
    assert plan(planner, ZoneTargets(3, 3)) == ZoneOrder(1, 5)


def test_large_zone_is_replaced_in_as_many_steps_as_a_small_one(
    planner: ZonePurchasePlanner,
) -> None:
    """Reclaimable targets are available again in a zone of on-demand ones."""
    bounds = PurchaseBounds(least=1, most=30)
    targets = ZoneTargets(29, 1)
    steps = 0
    while targets.on_demand > 1:
        order = planner.plan(bounds, {'a': targets}, 0, idle=False)['a']
        targets = ZoneTargets(order.on_demand, order.reclaimable)
        steps += 1

    assert steps == 3
    assert targets == ZoneTargets(1, 29)


def test_reclaimed_zone_is_filled_with_on_demand_targets_under_load(
    planner: ZonePurchasePlanner,
) -> None:
    """A zone's targets are reclaimed in a burst; none are available then."""
    planner.record_unavailable('a', now=10)

    during = plan(planner, ZoneTargets(1, 0), now=11)
    starting = plan(planner, ZoneTargets(1, 0), now=14)
    back = plan(planner, ZoneTargets(5, 1), now=16)

    assert during == ZoneOrder(5, 0)
    assert starting == ZoneOrder(5, 1)
    assert back == ZoneOrder(3, 3)


def test_plan_never_goes_below_the_minimum(
    planner: ZonePurchasePlanner,
) -> None:
    bounds = PurchaseBounds(least=2, most=2)

    by_zone = {'a': ZoneTargets(2, 0)}
    planned = planner.plan(bounds, by_zone, 0, idle=True)

    assert planned['a'] == ZoneOrder(2, 0)
