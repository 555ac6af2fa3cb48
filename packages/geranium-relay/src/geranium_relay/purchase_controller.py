"""Orders targets from the provider while the duty is held."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import Protocol, TypeAlias

from geranium_coordination import Lease
from geranium_policy.zone_purchases import (
    PurchaseBounds,
    ZoneOrder,
    ZonePurchasePlanner,
    ZonePurchaseSettings,
    ZoneTargets,
)

from .catalogue import Catalogue, PurchaseTerms, Service
from .catalogue_view import CatalogueView
from .decision_log import DecisionLog
from .load_tracker import LoadTracker
from .targets import Fleet


@dataclasses.dataclass(frozen=True, slots=True)
class Ordered:
    """The provider accepted the order."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoneAvailable:
    """The zone has no such targets available now."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFailed:
    """The order was refused, or it is unknown whether it was accepted."""

    reason: str


OrderResult: TypeAlias = Ordered | NoneAvailable | OrderFailed


@dataclasses.dataclass(frozen=True, slots=True)
class TargetOrder:
    """The desired number of targets of a kind in a zone."""

    service: str
    zone: str
    reclaimable: bool
    count: int


class PurchasePort(Protocol):
    """Orders targets from the provider."""

    async def order(self, order: TargetOrder, epoch: int) -> OrderResult:
        """Send one order."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class PurchaseControllerSettings:
    """Intervals of orders and the settings of the policy.

    Args:
        interval_s: Interval at which the fleet is checked.
        repeat_s: Delay before an order that the fleet does not reflect is
            repeated, since orders may be lost.
        policy: Settings of the purchase policy.
    """

    interval_s: float = 0.7
    repeat_s: float = 3
    policy: ZonePurchaseSettings = dataclasses.field(
        default_factory=ZonePurchaseSettings,
    )


_OrderKey: TypeAlias = tuple[str, str, bool]


@dataclasses.dataclass(frozen=True, slots=True)
class PurchaseInputs:
    """The state from which orders are computed."""

    catalogue: CatalogueView
    fleet: Fleet
    loads: LoadTracker


class PurchaseController:
    """Orders targets so that the fleet matches the policy's plan."""

    def __init__(
        self,
        settings: PurchaseControllerSettings,
        inputs: PurchaseInputs,
        port: PurchasePort,
        log: DecisionLog,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._inputs = inputs
        self._port = port
        self._log = log
        self._clock = clock
        self._policy_by_service: dict[str, ZonePurchasePlanner] = {}
        self._last_orders: dict[_OrderKey, tuple[int, float]] = {}

    async def run(self, lease: Lease) -> None:
        """Order missing targets while the lease is held."""
        self._last_orders.clear()
        while True:
            catalogue = self._inputs.catalogue.catalogue
            if catalogue is not None:
                await self._order_all(catalogue, lease)
            await asyncio.sleep(self._settings.interval_s)

    async def _order_all(self, catalogue: Catalogue, lease: Lease) -> None:
        for service in catalogue.services_by_name.values():
            if service.purchase is None:
                continue
            if not await self._order_service(service, service.purchase, lease):
                await self._order_service(service, service.purchase, lease)

    async def _order_service(
        self,
        service: Service,
        terms: PurchaseTerms,
        lease: Lease,
    ) -> bool:
        """Send due orders and return whether all targets were available."""
        holdings_by_zone = self._holdings(service.name, terms)
        policy = self._policy_by_service.setdefault(
            service.name,
            ZonePurchasePlanner(self._settings.policy),
        )
        bounds = PurchaseBounds(terms.least, terms.most)
        plan = policy.plan(
            bounds,
            holdings_by_zone,
            self._clock(),
            idle=not self._inputs.loads.total_loads(self._clock()),
        )
        all_available = True
        for zone, wanted in plan.items():
            for order in _orders(service.name, zone, wanted):
                if self._is_due(order, holdings_by_zone[zone]):
                    all_available &= await self._send(order, lease, policy)
        return all_available

    def _is_due(self, order: TargetOrder, holdings: ZoneTargets) -> bool:
        held = holdings.reclaimable if order.reclaimable else holdings.on_demand
        key = (order.service, order.zone, order.reclaimable)
        last = self._last_orders.get(key)
        if last is None or last[0] != order.count:
            return last is not None or held != order.count
        if held == order.count:
            return False
        return self._clock() - last[1] > self._settings.repeat_s

    async def _send(
        self,
        order: TargetOrder,
        lease: Lease,
        policy: ZonePurchasePlanner,
    ) -> bool:
        """Send an order and return whether such targets were available."""
        if not lease.is_held():
            return True
        answer = await self._port.order(order, lease.epoch)
        now = self._clock()
        self._log.record(
            'targets_ordered',
            service=order.service,
            zone=order.zone,
            reclaimable=order.reclaimable,
            count=order.count,
            epoch=lease.epoch,
            answer=repr(answer),
        )
        key = (order.service, order.zone, order.reclaimable)
        match answer:
            case Ordered():
                self._last_orders[key] = order.count, now
            case NoneAvailable():
                policy.record_unavailable(order.zone, now)
                self._last_orders.pop(key, None)
            case OrderFailed():
                self._last_orders.pop(key, None)
        return not isinstance(answer, NoneAvailable)

    def _holdings(
        self,
        service: str,
        terms: PurchaseTerms,
    ) -> Mapping[str, ZoneTargets]:
        counts = {zone: [0, 0] for zone in terms.price_by_zone}
        for target in self._inputs.fleet.of_service(service):
            counted = counts.setdefault(target.zone, [0, 0])
            counted[target.reclaimable] += 1
        return {
            zone: ZoneTargets(on_demand, reclaimable)
            for zone, (on_demand, reclaimable) in counts.items()
        }


def _orders(
    service: str,
    zone: str,
    wanted: ZoneOrder,
) -> tuple[TargetOrder, TargetOrder]:
    """Return the orders of a zone, on-demand targets first.

    The order for on-demand targets may free capacity for the other one.
    """
    return (
        TargetOrder(service, zone, reclaimable=False, count=wanted.on_demand),
        TargetOrder(service, zone, reclaimable=True, count=wanted.reclaimable),
    )
