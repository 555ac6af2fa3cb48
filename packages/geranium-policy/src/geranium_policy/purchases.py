"""Choice of the cheapest set of targets that covers the demand."""

import collections
import dataclasses
import math
from collections.abc import Iterator, Mapping, Sequence
from typing import TypeAlias

from geranium_model import Contract, Purchase


@dataclasses.dataclass(frozen=True, slots=True)
class AllReserved:
    """Baseline: buy only reserved targets at any price."""


@dataclasses.dataclass(frozen=True, slots=True)
class AllSpot:
    """Baseline: buy only spot targets beyond the committed ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class FlooredSpot:
    """Buy spot targets as long as losing those of a zone leaves the floor.

    Args:
        floor_share: Share of the needed targets that must remain if the zone
            with the most spot targets loses all of them.
    """

    floor_share: float = 0.75


SpendPolicy: TypeAlias = AllReserved | AllSpot | FlooredSpot


@dataclasses.dataclass(frozen=True, slots=True)
class PurchasePlan:
    """Targets by contract and their hourly cost beyond the commitments.

    ``shortfall`` is the number of targets that no contract can provide.
    """

    count_by_contract: Mapping[Contract, int]
    hourly_cost: float
    shortfall: int = 0

    @property
    def targets(self) -> int:
        """Total number of targets."""
        return sum(self.count_by_contract.values())

    def worst_loss(self) -> int:
        """Return the maximum number of spot targets in a single zone."""
        spot_by_zone = _spot_by_zone(self.count_by_contract)
        return max(spot_by_zone.values(), default=0)


def plan_purchases(
    policy: SpendPolicy,
    contracts: Sequence[Contract],
    needed: int,
) -> PurchasePlan:
    """Return the cheapest plan that covers the needed targets.

    Committed targets are used first, since they are paid for in any case. To
    meet the floor at the least cost, every limit on the spot targets of a
    zone is tried, each with the further reserved targets that it requires.
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
            yield _plan_with_bound(
                contracts, needed, floor=needed, spot_bound=0
            )
        case AllSpot():
            yield _plan_with_bound(
                contracts, needed, floor=0, spot_bound=needed
            )
        case FlooredSpot(floor_share=share):
            floor = math.ceil(share * needed)
            for spot_bound in range(needed + 1):
                yield _plan_with_bound(contracts, needed, floor, spot_bound)


def _plan_with_bound(
    contracts: Sequence[Contract],
    needed: int,
    floor: int,
    spot_bound: int,
) -> PurchasePlan:
    count_by_contract = {contract: contract.committed for contract in contracts}
    committed = PurchasePlan(count_by_contract, 0)
    wanted = max(needed, floor + max(spot_bound, committed.worst_loss()))
    missing = wanted - committed.targets
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
    remaining = plan.targets - plan.worst_loss()
    shortfall = max(needed - plan.targets, 0)
    shortfall += max(floor - remaining, 0)
    return dataclasses.replace(plan, shortfall=shortfall)


def _spot_by_zone(
    count_by_contract: Mapping[Contract, int],
) -> collections.Counter[str]:
    spot_by_zone: collections.Counter[str] = collections.Counter()
    for contract, count in count_by_contract.items():
        if contract.purchase is Purchase.SPOT:
            spot_by_zone[contract.zone] += count
    return spot_by_zone
