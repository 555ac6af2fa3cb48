"""The duty of ordering targets."""

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
    """The provider has taken the order."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoneAvailable:
    """There are no such targets to be had in the zone now."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFailed:
    """The order was refused, or it is not known whether it was taken."""

    reason: str


OrderResult: TypeAlias = Ordered | NoneAvailable | OrderFailed


@dataclasses.dataclass(frozen=True, slots=True)
class TargetOrder:
    """How many targets of a kind a zone should have."""

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
    """How orders are paced.

    Args:
        every_s: Time between two looks at the fleet.
        repeat_s: An order is repeated after so long if the fleet does not
            show it, since orders may be lost.
        policy: How zones are filled.
    """

    every_s: float = 0.7
    repeat_s: float = 3
    policy: ZonePurchaseSettings = dataclasses.field(
        default_factory=ZonePurchaseSettings,
    )


_Subject: TypeAlias = tuple[str, str, bool]


@dataclasses.dataclass(frozen=True, slots=True)
class PurchaseInputs:
    """What orders are decided by."""

    catalogue: CatalogueView
    fleet: Fleet
    loads: LoadTracker


class PurchaseController:
    """Keeps the fleet at what the policy wants."""

    def __init__(
        self,
        settings: PurchaseControllerSettings,
        view: PurchaseInputs,
        port: PurchasePort,
        log: DecisionLog,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._view = view
        self._port = port
        self._log = log
        self._clock = clock
        self._plans_by_service: dict[str, ZonePurchasePlanner] = {}
        self._ordered: dict[_Subject, tuple[int, float]] = {}

    async def run(self, lease: Lease) -> None:
        """Order what is missing while the lease lasts."""
        self._ordered.clear()
        while True:
            catalogue = self._view.catalogue.catalogue
            if catalogue is not None:
                await self._order_all(catalogue, lease)
            await asyncio.sleep(self._settings.every_s)

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
        """Order what is due; say whether all of it was to be had."""
        holdings_by_zone = self._holdings(service.name, terms)
        policy = self._plans_by_service.setdefault(
            service.name,
            ZonePurchasePlanner(self._settings.policy),
        )
        bounds = PurchaseBounds(terms.least, terms.most)
        plan = policy.plan(
            bounds,
            holdings_by_zone,
            self._clock(),
            idle=not self._view.loads.total_loads(self._clock()),
        )
        had_all = True
        for zone, wanted in plan.items():
            for order in _orders(service.name, zone, wanted):
                if self._is_due(order, holdings_by_zone[zone]):
                    had_all &= await self._send(order, lease, policy)
        return had_all

    def _is_due(self, order: TargetOrder, holdings: ZoneTargets) -> bool:
        held = holdings.reclaimable if order.reclaimable else holdings.on_demand
        subject = (order.service, order.zone, order.reclaimable)
        last = self._ordered.get(subject)
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
        """Send an order; say whether such targets were to be had."""
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
        subject = (order.service, order.zone, order.reclaimable)
        match answer:
            case Ordered():
                self._ordered[subject] = order.count, now
            case NoneAvailable():
                policy.record_unavailable(order.zone, now)
                self._ordered.pop(subject, None)
            case OrderFailed():
                self._ordered.pop(subject, None)
        return not isinstance(answer, NoneAvailable)

    def _holdings(
        self,
        service: str,
        terms: PurchaseTerms,
    ) -> Mapping[str, ZoneTargets]:
        counts = {zone: [0, 0] for zone in terms.price_by_zone}
        for target in self._view.fleet.of_service(service):
            counted = counts.setdefault(target.zone, [0, 0])
            counted[target.reclaimable] += 1
        return {
            zone: ZoneTargets(firm, reclaimable)
            for zone, (firm, reclaimable) in counts.items()
        }


def _orders(
    service: str,
    zone: str,
    wanted: ZoneOrder,
) -> tuple[TargetOrder, TargetOrder]:
    """Return the orders of a zone, the one that may free places first."""
    return (
        TargetOrder(service, zone, reclaimable=False, count=wanted.on_demand),
        TargetOrder(service, zone, reclaimable=True, count=wanted.reclaimable),
    )
