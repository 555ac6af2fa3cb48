"""Purchases: the cheapest targets that give what is needed."""

import collections
import dataclasses
import math
from collections.abc import Iterator, Mapping, Sequence
from typing import TypeAlias

from geranium_model import Contract, Purchase


@dataclasses.dataclass(frozen=True, slots=True)
class AllReserved:
    """Baseline: only reserved targets, however dear."""


@dataclasses.dataclass(frozen=True, slots=True)
class AllSpot:
    """Baseline: nothing but spot targets beyond what is committed."""


@dataclasses.dataclass(frozen=True, slots=True)
class FlooredSpot:
    """Spot targets as long as losing a zone of them leaves the floor.

    Args:
        floor_share: Share of the needed targets that must be left when the
            zone with the most spot targets loses all of those.
    """

    floor_share: float = 0.75


SpendPolicy: TypeAlias = AllReserved | AllSpot | FlooredSpot


@dataclasses.dataclass(frozen=True, slots=True)
class PurchasePlan:
    """Targets by contract, and what they cost an hour beyond what is owed.

    ``shortfall`` counts the targets that no contract can give.
    """

    count_by_contract: Mapping[Contract, int]
    hourly_cost: float
    shortfall: int = 0

    @property
    def targets(self) -> int:
        """All targets."""
        return sum(self.count_by_contract.values())

    def worst_loss(self) -> int:
        """Return the most spot targets that one zone can take away."""
        spot_by_zone = _spot_by_zone(self.count_by_contract)
        return max(spot_by_zone.values(), default=0)


def plan_purchases(
    policy: SpendPolicy,
    contracts: Sequence[Contract],
    needed: int,
) -> PurchasePlan:
    """Return the cheapest targets that give what is needed.

    What is committed is used first, as it is paid for in any case. For the
    floor every bound on a zone's spot targets is tried with every number of
    further reserved ones that it then takes, which finds the least cost.
    """
    plans = list(_candidates(policy, contracts, needed))
    return min(
        plans,
        key=lambda plan: (plan.shortfall, plan.hourly_cost, plan.worst_loss()),
    )


def _candidates(
    policy: SpendPolicy,
    contracts: Sequence[Contract],
    needed: int,
) -> Iterator[PurchasePlan]:
    match policy:
        case AllReserved():
            yield _fill(contracts, needed, floor=needed, spot_bound=0)
        case AllSpot():
            yield _fill(contracts, needed, floor=0, spot_bound=needed)
        case FlooredSpot(floor_share=share):
            floor = math.ceil(share * needed)
            for spot_bound in range(needed + 1):
                yield _fill(contracts, needed, floor, spot_bound)


def _fill(
    contracts: Sequence[Contract],
    needed: int,
    floor: int,
    spot_bound: int,
) -> PurchasePlan:
    count_by_contract = {contract: contract.committed for contract in contracts}
    owed = PurchasePlan(count_by_contract, 0)
    wanted = max(needed, floor + max(spot_bound, owed.worst_loss()))
    missing = wanted - owed.targets
    spot_by_zone = _spot_by_zone(count_by_contract)
    for contract in sorted(contracts, key=lambda offer: offer.hourly_price):
        room = contract.maximum - contract.committed
        if contract.purchase is Purchase.SPOT:
            room = min(room, spot_bound - spot_by_zone[contract.zone])
        bought = max(min(room, missing), 0)
        count_by_contract[contract] += bought
        missing -= bought
        if contract.purchase is Purchase.SPOT:
            spot_by_zone[contract.zone] += bought
    return _plan(count_by_contract, needed, floor)


def _plan(
    count_by_contract: Mapping[Contract, int],
    needed: int,
    floor: int,
) -> PurchasePlan:
    plan = PurchasePlan(
        count_by_contract,
        hourly_cost=sum(
            (count - contract.committed) * contract.hourly_price
            for contract, count in count_by_contract.items()
        ),
    )
    left = plan.targets - plan.worst_loss()
    shortfall = max(needed - plan.targets, 0)
    shortfall += max(floor - left, 0)
    return dataclasses.replace(plan, shortfall=shortfall)


def _spot_by_zone(
    count_by_contract: Mapping[Contract, int],
) -> collections.Counter[str]:
    spot_by_zone: collections.Counter[str] = collections.Counter()
    for contract, count in count_by_contract.items():
        if contract.purchase is Purchase.SPOT:
            spot_by_zone[contract.zone] += count
    return spot_by_zone
