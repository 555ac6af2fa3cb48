"""A simulation of spend over a day with slow target starts and an eviction.

Time is in minutes and demand in targets. At the peak of the day, the zone with
the most spot targets loses them. The requests that ran there are lost, and
demand beyond the remaining targets is not served until others have started.
"""

import dataclasses
import math
import random

from geranium_model import Contract, Purchase, TargetOrder
from geranium_policy import SpendSettings, TargetPlanner, TargetUse
from geranium_policy.purchases import SpendPolicy

DAY_MINUTES = 1440
PEAK_MINUTE = 840
ARRIVAL_MINUTES = 6
REQUESTS_PER_TARGET_MINUTE = 240
IN_FLIGHT_PER_TARGET = 24
NOISE = 0.04
MINUTE_S = 60
HOUR_MINUTES = 60
MILLION = 1_000_000
GIVE_BACK_S = 1200


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """The demand of a day in targets: a base level and a peak."""

    base: float
    peak: float

    def demand(self, minute: int, source: random.Random) -> float:
        """Return the demand in a minute of the day."""
        turn = 2 * math.pi * (minute - PEAK_MINUTE) / DAY_MINUTES
        swing = (1 + math.cos(turn)) / 2
        level = self.base + (self.peak - self.base) * swing**2
        return level * source.gauss(1, NOISE)


@dataclasses.dataclass(slots=True)
class SpendFigures:
    """The results of a day."""

    cost: float = 0
    served: float = 0
    unserved: float = 0
    lost: float = 0
    on_spot: float = 0

    @property
    def cost_per_million(self) -> float:
        """Cost of a million served requests, including committed targets."""
        return self.cost / self.served * MILLION


@dataclasses.dataclass(slots=True)
class _Target:
    use: TargetUse
    price: float
    ready_at: int


class SpendDay:
    """Simulates one day of one service under a policy."""

    def __init__(
        self,
        policy: SpendPolicy,
        contracts: tuple[Contract, ...],
        day: Day,
        seed: int,
    ) -> None:
        self.figures = SpendFigures()
        self._contracts = contracts
        self._day = day
        self._random = random.Random(seed)
        self._planner = TargetPlanner(
            SpendSettings(policy, scale_down_delay_s=GIVE_BACK_S),
        )
        self._targets: list[_Target] = []
        self._named = 0

    def run(self) -> SpendFigures:
        """Run the day and return its figures."""
        for minute in range(DAY_MINUTES):
            demand = self._day.demand(minute, self._random)
            self._plan(demand, minute)
            if minute == PEAK_MINUTE:
                self._evict(minute)
            self._serve(demand, minute)
        return self.figures

    def _plan(self, demand: float, minute: int) -> None:
        uses = [target.use for target in self._targets]
        plan = self._planner.plan(
            self._contracts,
            uses,
            demand,
            minute * MINUTE_S,
        )
        drained = frozenset(plan.drains)
        for target in self._targets:
            if target.use.target in drained:
                target.use = dataclasses.replace(target.use, draining=True)
        for order in plan.orders:
            self._apply_order(order, minute)

    def _apply_order(self, order: TargetOrder, minute: int) -> None:
        same = [
            target
            for target in self._targets
            if target.use.zone == order.zone
            and target.use.purchase is order.purchase
        ]
        same.sort(key=lambda target: not target.use.draining)
        for target in same[: max(len(same) - order.count, 0)]:
            self._targets.remove(target)
        for _ in range(order.count - len(same)):
            self._buy(order.zone, order.purchase, minute)

    def _buy(self, zone: str, purchase: Purchase, minute: int) -> None:
        self._named += 1
        price = next(
            contract.hourly_price
            for contract in self._contracts
            if contract.zone == zone and contract.purchase is purchase
        )
        use = TargetUse(f't-{self._named}', zone, purchase)
        ready_at = minute + ARRIVAL_MINUTES if minute else 0
        self._targets.append(_Target(use, price, ready_at))

    def _evict(self, minute: int) -> None:
        spot_zones = [
            target.use.zone
            for target in self._targets
            if target.use.purchase is Purchase.SPOT
        ]
        if not spot_zones:
            return
        worst = max(sorted(set(spot_zones)), key=spot_zones.count)
        self._planner.record_eviction(worst, minute * MINUTE_S)
        self.figures.lost += spot_zones.count(worst) * IN_FLIGHT_PER_TARGET
        self._targets = [
            target
            for target in self._targets
            if target.use.purchase is not Purchase.SPOT
            or target.use.zone != worst
        ]

    def _serve(self, demand: float, minute: int) -> None:
        ready = [
            target for target in self._targets if target.ready_at <= minute
        ]
        served = min(demand, len(ready))
        spot = sum(target.use.purchase is Purchase.SPOT for target in ready)
        figures = self.figures
        figures.served += served * REQUESTS_PER_TARGET_MINUTE
        figures.unserved += (demand - served) * REQUESTS_PER_TARGET_MINUTE
        share = spot / max(len(ready), 1)
        figures.on_spot += served * REQUESTS_PER_TARGET_MINUTE * share
        paid = sum(target.price for target in self._targets)
        figures.cost += paid / HOUR_MINUTES
