"""Targets are bought at the least cost above a floor and returned drained."""

import dataclasses
import itertools

import pytest
from geranium_model import Contract, Purchase, TargetOrder
from geranium_policy.purchases import (
    AllReserved,
    AllSpot,
    FlooredSpot,
    plan_purchases,
)
from geranium_policy.spend import SpendSettings, TargetPlanner, TargetUse
from hypothesis import given, settings
from hypothesis import strategies as st

ZONES = ('khomas-a', 'khomas-b', 'khomas-c')
COUNT = st.integers(0, 4)
FLOORS = (0, 0.5, 0.8, 1)
ROUNDING = 1e-9
PRICE = st.sampled_from([0.5, 1, 2, 3])


def contract_of(zone, purchase, committed, maximum, price):
    return Contract('llm', zone, purchase, committed, maximum, price)


def usual_contracts():
    reserved = [contract_of(zone, Purchase.RESERVED, 2, 8, 3) for zone in ZONES]
    spot = [contract_of(zone, Purchase.SPOT, 0, 8, 1) for zone in ZONES]
    return [*reserved, *spot]


@st.composite
def contract_sets(draw):
    return [
        contract_of(
            zone,
            purchase,
            committed := draw(COUNT),
            committed + draw(COUNT),
            draw(PRICE),
        )
        for zone in ZONES[:2]
        for purchase in Purchase
    ]


def use_of(contract, number, **changes):
    kind = contract.purchase.value
    name = f'{contract.zone}-{kind}-{number}'
    return TargetUse(name, contract.zone, contract.purchase, **changes)


@given(contract_sets(), st.integers(0, 12), st.floats(0, 1))
@settings(derandomize=True, deadline=None)
def test_floor_holds_under_the_loss_of_any_zones_spot(
    contracts,
    needed,
    share,
):
    plan = plan_purchases(FlooredSpot(share), contracts, needed)
    assert all(
        count in range(contract.committed, contract.maximum + 1)
        for contract, count in plan.count_by_contract.items()
    )
    if plan.shortfall:
        return
    assert plan.targets >= needed
    for zone in ZONES:
        left = plan.targets - spot_in(zone, plan.count_by_contract)
        assert left >= share * needed - ROUNDING


def spot_in(zone, count_by_contract):
    return sum(
        count
        for contract, count in count_by_contract.items()
        if contract.zone == zone and contract.purchase is Purchase.SPOT
    )


def cost_of(count_by_contract):
    return sum(
        (count - contract.committed) * contract.hourly_price
        for contract, count in count_by_contract.items()
    )


def every_purchase(contracts):
    choices = [
        range(contract.committed, contract.maximum + 1)
        for contract in contracts
    ]
    for counts in itertools.product(*choices):
        yield dict(zip(contracts, counts, strict=True))


@given(contract_sets(), st.integers(0, 9), st.sampled_from(FLOORS))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_no_cheaper_purchase_keeps_the_floor(contracts, needed, share):
    plan = plan_purchases(FlooredSpot(share), contracts, needed)
    least = float('inf')
    for purchase in every_purchase(contracts):
        bought = sum(purchase.values())
        left = bought - max(spot_in(zone, purchase) for zone in ZONES)
        if bought >= needed and left >= share * needed - ROUNDING:
            least = min(least, cost_of(purchase))
    cost = float('inf') if plan.shortfall else plan.hourly_cost
    assert cost == pytest.approx(least)


def test_committed_targets_are_used_before_any_is_bought():
    plan = plan_purchases(FlooredSpot(), usual_contracts(), 5)
    assert (plan.targets, plan.hourly_cost) == (6, 0)


@pytest.mark.parametrize(
    ('policy', 'cost', 'loss'),
    [
        (AllReserved(), 18, 0),
        (AllSpot(), 6, 6),
        (FlooredSpot(0.75), 6, 2),
    ],
)
def test_purchases_for_a_peak_by_policy(policy, cost, loss):
    plan = plan_purchases(policy, usual_contracts(), 12)
    assert (plan.targets, plan.hourly_cost) == (12, cost)
    assert plan.worst_loss() == loss


def present(plan):
    return [
        use_of(contract, number)
        for contract, count in plan.purchase.count_by_contract.items()
        for number in range(count)
    ]


def test_scale_up_is_immediate_and_scale_down_is_delayed():
    planner = TargetPlanner(SpendSettings(headroom=1, scale_down_delay_s=100))
    contracts = usual_contracts()
    base = present(planner.plan(contracts, [], 6, now=0))
    rise = planner.plan(contracts, base, 12, now=1)
    assert sum(order.count for order in rise.orders) == 6
    targets = present(rise)
    assert not planner.plan(contracts, targets, 12, now=2).orders
    assert not planner.plan(contracts, targets, 6, now=90).drains
    fall = planner.plan(contracts, targets, 6, now=103)
    assert len(fall.drains) == 6
    assert not fall.orders


def test_target_is_returned_only_when_nothing_runs_on_it():
    planner = TargetPlanner(SpendSettings(headroom=1))
    spot = contract_of('khomas-a', Purchase.SPOT, 0, 8, 1)
    busy = use_of(spot, 1, in_flight=1, draining=True)
    assert not planner.plan([spot], [busy], 0, now=0).orders
    idle = dataclasses.replace(busy, in_flight=0)
    assert planner.plan([spot], [idle], 0, now=0).orders == (
        TargetOrder('llm', 'khomas-a', Purchase.SPOT, 0),
    )


def test_draining_target_resumes_when_it_is_needed_again():
    planner = TargetPlanner(SpendSettings(headroom=1))
    spot = contract_of('khomas-a', Purchase.SPOT, 0, 8, 1)
    draining = use_of(spot, 1, draining=True)
    plan = planner.plan([spot], [draining], 1, now=0)
    assert plan.resumes == (draining.target,)
    assert not plan.orders


def test_zone_that_evicted_gets_no_spot_orders_for_a_while():
    planner = TargetPlanner(SpendSettings(headroom=1, eviction_backoff_s=300))
    contracts = usual_contracts()
    planner.record_eviction('khomas-a', now=0)
    for now, expected in ((1, False), (301, True)):
        orders = planner.plan(contracts, [], 18, now).orders
        spot_zones = [
            order.zone for order in orders if order.purchase is Purchase.SPOT
        ]
        assert ('khomas-a' in spot_zones) is expected


def test_contracts_for_the_same_kind_make_one_order():
    planner = TargetPlanner(SpendSettings(headroom=1))
    contracts = [
        contract_of('khomas-a', Purchase.RESERVED, 2, 2, 3),
        contract_of('khomas-a', Purchase.RESERVED, 0, 8, 4),
    ]
    assert planner.plan(contracts, [], 5, now=0).orders == (
        TargetOrder('llm', 'khomas-a', Purchase.RESERVED, 5),
    )
