"""Planning of target orders from a demand forecast."""

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
        policy: Policy for the choice between reserved and spot targets.
        headroom: Ratio of wanted targets to forecast demand.
        scale_down_delay_s: Time without need after which targets are
            returned.
        eviction_backoff_s: Time after an eviction of spot targets during
            which none are ordered in the zone.
    """

    policy: SpendPolicy = dataclasses.field(default_factory=FlooredSpot)
    headroom: float = 1.15
    scale_down_delay_s: float = 120
    eviction_backoff_s: float = 300


@dataclasses.dataclass(frozen=True, slots=True)
class TargetUse:
    """A present target and its load.

    Args:
        target: Name of the target.
        zone: Its availability zone.
        purchase: Whether it is reserved or spot.
        in_flight: Number of requests that run on it.
        draining: Whether it takes no new requests.
    """

    target: str
    zone: str
    purchase: Purchase
    in_flight: int = 0
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SpendPlan:
    """Changes to the number of targets.

    Args:
        purchase: The wanted targets.
        orders: Orders for the platform.
        drains: Targets to drain before they are returned.
        resumes: Draining targets that are needed again.
    """

    purchase: PurchasePlan
    orders: tuple[TargetOrder, ...]
    drains: tuple[str, ...]
    resumes: tuple[str, ...]


class TargetPlanner:
    """Plans the targets of one service.

    Scales up immediately and scales down only after a sustained decrease of
    the demand. A target is returned only once nothing runs on it.
    """

    def __init__(self, settings: SpendSettings) -> None:
        self._settings = settings
        self._needs: collections.deque[_Need] = collections.deque()
        self._evicted_at_by_zone: dict[str, float] = {}

    def record_eviction(self, zone: str, now: float) -> None:
        """Record that the platform has evicted spot targets in a zone."""
        self._evicted_at_by_zone[zone] = now

    def plan(
        self,
        contracts: Sequence[Contract],
        targets: Sequence[TargetUse],
        needed: float,
        now: float,
    ) -> SpendPlan:
        """Return the changes to make now.

        Args:
            contracts: The service's contracts.
            targets: The present targets, including starting ones.
            needed: Forecast demand in number of targets.
            now: Current time in seconds.
        """
        wanted = math.ceil(needed * self._settings.headroom)
        purchase = plan_purchases(
            self._settings.policy,
            tuple(self._available_contracts(contracts, now)),
            self._max_recent_need(wanted, now),
        )
        changes = [
            _change(order, _matching_targets(order, targets))
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

    def _max_recent_need(self, wanted: int, now: float) -> int:
        oldest = now - self._settings.scale_down_delay_s
        while self._needs and self._needs[0].instant < oldest:
            self._needs.popleft()
        while self._needs and self._needs[-1].targets <= wanted:
            self._needs.pop()
        self._needs.append(_Need(now, wanted))
        return self._needs[0].targets

    def _available_contracts(
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


def _matching_targets(
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
