"""Spend: targets are ordered ahead of the demand and given back after it."""

import collections
import dataclasses
import math
from collections.abc import Iterator, Sequence

from geranium_model import Contract, Purchase, TargetOrder

from .purchases import FlooredSpot, PurchasePlan, SpendPolicy, plan_purchases


@dataclasses.dataclass(frozen=True, slots=True)
class SpendSettings:
    """Settings of a target planner.

    Args:
        policy: Which kind is bought.
        headroom: Targets wanted for each one that the forecast needs.
        give_back_after_s: Targets are given back once they have not been
            needed for so long.
        eviction_backoff_s: No spot targets are ordered in a zone for so long
            after it evicted some.
    """

    policy: SpendPolicy = dataclasses.field(default_factory=FlooredSpot)
    headroom: float = 1.15
    give_back_after_s: float = 120
    eviction_backoff_s: float = 300


@dataclasses.dataclass(frozen=True, slots=True)
class TargetUse:
    """A target that is there, and what it does.

    Args:
        target: Its name.
        zone: Its availability zone.
        purchase: How it is paid for.
        in_flight: Requests that run on it.
        draining: Whether it takes no new ones.
    """

    target: str
    zone: str
    purchase: Purchase
    in_flight: int = 0
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SpendPlan:
    """What to do about the number of targets now.

    Args:
        purchase: The targets that are wanted.
        orders: For the platform.
        drains: Targets that take no new work from now, to be given back.
        resumes: Draining targets that are needed after all.
    """

    purchase: PurchasePlan
    orders: tuple[TargetOrder, ...]
    drains: tuple[str, ...]
    resumes: tuple[str, ...]


class TargetPlanner:
    """Plans the targets of one service.

    A rise of the demand is followed at once, a fall only when it has lasted,
    and a target is given back only once nothing runs on it.
    """

    def __init__(self, settings: SpendSettings) -> None:
        self._settings = settings
        self._needs: collections.deque[_Need] = collections.deque()
        self._evicted_at_by_zone: dict[str, float] = {}

    def record_eviction(self, zone: str, now: float) -> None:
        """Note that the platform has taken spot targets in a zone away."""
        self._evicted_at_by_zone[zone] = now

    def plan(
        self,
        contracts: Sequence[Contract],
        targets: Sequence[TargetUse],
        needed: float,
        now: float,
    ) -> SpendPlan:
        """Return what to do now.

        Args:
            contracts: The service's contracts.
            targets: The targets that are there, starting ones included.
            needed: How many targets the forecast keeps busy.
            now: The present instant.
        """
        wanted = math.ceil(needed * self._settings.headroom)
        purchase = plan_purchases(
            self._settings.policy,
            tuple(self._open_contracts(contracts, now)),
            self._lasting_need(wanted, now),
        )
        changes = [
            _change(order, _targets_of(order, targets))
            for order in _wanted_orders(purchase)
        ]
        return SpendPlan(
            purchase=purchase,
            orders=tuple(
                change.order for change in changes if change.order is not None
            ),
            drains=tuple(name for change in changes for name in change.drains),
            resumes=tuple(
                name for change in changes for name in change.resumes
            ),
        )

    def _lasting_need(self, wanted: int, now: float) -> int:
        oldest = now - self._settings.give_back_after_s
        while self._needs and self._needs[0].instant < oldest:
            self._needs.popleft()
        while self._needs and self._needs[-1].targets <= wanted:
            self._needs.pop()
        self._needs.append(_Need(now, wanted))
        return self._needs[0].targets

    def _open_contracts(
        self,
        contracts: Sequence[Contract],
        now: float,
    ) -> Iterator[Contract]:
        oldest = now - self._settings.eviction_backoff_s
        for contract in contracts:
            evicted_at = self._evicted_at_by_zone.get(contract.zone, oldest)
            if contract.purchase is Purchase.SPOT and evicted_at > oldest:
                yield dataclasses.replace(
                    contract,
                    maximum=contract.committed,
                )
            else:
                yield contract


@dataclasses.dataclass(frozen=True, slots=True)
class _Need:
    instant: float
    targets: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    order: TargetOrder | None
    drains: tuple[str, ...] = ()
    resumes: tuple[str, ...] = ()


def _wanted_orders(purchase: PurchasePlan) -> Iterator[TargetOrder]:
    # Several contracts may cover the same kind of target in a zone.
    count_by_kind: collections.Counter[TargetOrder] = collections.Counter()
    for contract, count in purchase.count_by_contract.items():
        kind = TargetOrder(
            contract.service,
            contract.zone,
            contract.purchase,
            0,
        )
        count_by_kind[kind] += count
    for kind, count in count_by_kind.items():
        yield dataclasses.replace(kind, count=count)


def _targets_of(
    order: TargetOrder,
    targets: Sequence[TargetUse],
) -> list[TargetUse]:
    chosen = [
        use
        for use in targets
        if use.zone == order.zone and use.purchase is order.purchase
    ]
    chosen.sort(key=lambda use: (not use.draining, use.in_flight))
    return chosen


def _change(wanted: TargetOrder, targets: Sequence[TargetUse]) -> _Change:
    surplus = max(len(targets) - wanted.count, 0)
    leaving = targets[:surplus]
    drained = sum(use.draining and not use.in_flight for use in leaving)
    kept = len(targets) - drained if surplus else wanted.count
    order = dataclasses.replace(wanted, count=kept)
    return _Change(
        order=None if kept == len(targets) else order,
        drains=tuple(use.target for use in leaving if not use.draining),
        resumes=tuple(use.target for use in targets[surplus:] if use.draining),
    )
