"""The engines of an emulated day and their life cycle."""

import collections
import dataclasses
import functools
import itertools
import random
from collections.abc import Callable, Iterable

import geranium_relay as relay
from geranium_policy.zone_purchases import (
    PurchaseBounds,
    ZonePurchasePlanner,
    ZonePurchaseSettings,
    ZoneTargets,
)

from .engines import Engine
from .plans import Crash, DayPlan, Reclaim, Slow
from .simulation import Simulation

SERVICE = 'model'
PURCHASE_INTERVAL_S = 0.7  # as in the product
RECLAIMABLE_SHARE = 0.8  # of the initial engines


@dataclasses.dataclass(frozen=True, slots=True)
class EngineKind:
    """The zone, stage and purchase option of an engine order."""

    zone: str
    stage: relay.Stage
    reclaimable: bool


class Cluster:
    """The engines of all zones, purchased by the product's policy.

    Args:
        plan: The plan of the day.
        simulation: Schedules events.
        source: Chooses the engines that a fault affects.
        on_targets_changed: Called whenever the list of targets has changed.
    """

    def __init__(
        self,
        plan: DayPlan,
        simulation: Simulation,
        source: random.Random,
        on_targets_changed: Callable[[], None],
    ) -> None:
        self.engines_by_key: dict[str, Engine] = {}
        self.engine_seconds = float(0)
        self._retired_fresh_tokens = 0
        self._plan = plan
        self._simulation = simulation
        self._source = source
        self._on_targets_changed = on_targets_changed
        self._numbers = itertools.count()
        self._unavailable_until_by_zone: dict[str, float] = {}
        self._booting_by_kind = collections.Counter[tuple[str, bool]]()
        self._purchases = ZonePurchasePlanner(ZonePurchaseSettings())

    def open(self) -> None:
        """Start the initial engines and the purchase loop."""
        engines = self._plan.engines
        for zone in self._plan.zones:
            stages = (
                *itertools.repeat(relay.Stage.PREFILL, engines.prefill),
                *itertools.repeat(relay.Stage.DECODE, engines.decode),
            )
            on_demand_count = round(len(stages) * (1 - RECLAIMABLE_SHARE))
            for number, stage in enumerate(stages):
                self._start(EngineKind(zone, stage, number >= on_demand_count))
        self._on_targets_changed()
        self._purchase()

    @property
    def fresh_tokens(self) -> int:
        """Prompt tokens that engines have computed so far."""
        present = sum(one.fresh_tokens for one in self.engines_by_key.values())
        return self._retired_fresh_tokens + present

    def targets(self) -> list[relay.Target]:
        """Return the current list of targets."""
        return [engine.target for engine in self.engines_by_key.values()]

    def apply(self, trouble: Reclaim | Crash | Slow) -> None:
        """Start a fault."""
        match trouble:
            case Reclaim():
                self._reclaim(trouble)
            case Crash():
                for engine in self._sample_engines(trouble.engines):
                    self._stop(engine)
                    self._boot(_kind_of(engine), trouble.for_s)
            case Slow():
                self._slow(trouble)

    def _reclaim(self, trouble: Reclaim) -> None:
        now = self._simulation.now()
        self._unavailable_until_by_zone[trouble.zone] = now + trouble.for_s
        taken = [
            engine
            for engine in self.engines_by_key.values()
            if engine.target.zone == trouble.zone and engine.target.reclaimable
        ]
        for engine in taken:
            engine.target = dataclasses.replace(engine.target, leaving=True)
        self._on_targets_changed()
        for engine in taken:
            self._simulation.after(
                trouble.notice_s,
                functools.partial(self._stop, engine),
            )

    def _slow(self, trouble: Slow) -> None:
        slowed = self._sample_engines(trouble.engines)
        _set_slowdown(slowed, trouble.factor)
        self._simulation.after(
            trouble.for_s,
            functools.partial(_set_slowdown, slowed, 1),
        )

    def _sample_engines(self, count: int) -> list[Engine]:
        engines = list(self.engines_by_key.values())
        return self._source.sample(engines, min(count, len(engines)))

    def _start(self, kind: EngineKind) -> None:
        target = relay.Target(
            identity=f'e{next(self._numbers)}',
            born_ms=int(self._simulation.now() * 1000),
            service=SERVICE,
            address='127.0.0.1:1',
            zone=kind.zone,
            slots=self._plan.engines.slots,
            leaving=False,
            reclaimable=kind.reclaimable,
            stage=kind.stage,
            weights_version=None,
        )
        engine = Engine(target, self._plan.engines, self._simulation)
        self.engines_by_key[target.key] = engine

    def _stop(self, engine: Engine) -> None:
        if engine.is_up:
            self.engines_by_key.pop(engine.target.key, None)
            self._retired_fresh_tokens += engine.fresh_tokens
            engine.stop()
            self._on_targets_changed()

    def _boot(self, kind: EngineKind, delay_s: float) -> None:
        """Start an engine after a boot delay."""
        booting = kind.zone, kind.reclaimable
        self._booting_by_kind[booting] += 1
        self._simulation.after(
            delay_s, functools.partial(self._finish_boot, kind)
        )

    def _finish_boot(self, kind: EngineKind) -> None:
        self._booting_by_kind[kind.zone, kind.reclaimable] -= 1
        if kind.reclaimable and self._is_unavailable(kind.zone):
            return
        self._start(kind)
        self._on_targets_changed()

    def _is_unavailable(self, zone: str) -> bool:
        until = self._unavailable_until_by_zone.get(zone, 0)
        return self._simulation.now() < until

    def _purchase(self) -> None:
        """Order the engines that the policy wants and reschedule itself."""
        self.engine_seconds += len(self.engines_by_key) * PURCHASE_INTERVAL_S
        engines = tuple(self.engines_by_key.values())
        holdings = {zone: _holdings(engines, zone) for zone in self._plan.zones}
        now = self._simulation.now()
        wanted_by_zone = self._purchases.plan(
            PurchaseBounds(1, self._plan.engines.of_zone),
            holdings,
            now,
            idle=False,
        )
        for zone, wanted in wanted_by_zone.items():
            held = holdings[zone]
            missing = wanted.reclaimable - held.reclaimable
            if missing > 0 and self._is_unavailable(zone):
                self._purchases.record_unavailable(zone, now)
                missing = 0
            self._buy(zone, missing, reclaimable=True)
            self._buy(
                zone, wanted.on_demand - held.on_demand, reclaimable=False
            )
        self._simulation.after(PURCHASE_INTERVAL_S, self._purchase)

    def _buy(self, zone: str, missing: int, *, reclaimable: bool) -> None:
        missing -= self._booting_by_kind[zone, reclaimable]
        for _ in range(max(missing, 0)):
            kind = EngineKind(zone, self._missing_stage(zone), reclaimable)
            self._boot(kind, self._plan.engines.boot_s)

    def _missing_stage(self, zone: str) -> relay.Stage:
        prefill_count = sum(
            engine.target.stage is relay.Stage.PREFILL
            for engine in self.engines_by_key.values()
            if engine.target.zone == zone
        )
        if prefill_count < self._plan.engines.prefill:
            return relay.Stage.PREFILL
        return relay.Stage.DECODE


def _holdings(engines: Iterable[Engine], zone: str) -> ZoneTargets:
    present = [
        engine.target
        for engine in engines
        if engine.target.zone == zone and not engine.target.leaving
    ]
    reclaimable = sum(target.reclaimable for target in present)
    return ZoneTargets(len(present) - reclaimable, reclaimable)


def _kind_of(engine: Engine) -> EngineKind:
    target = engine.target
    assert target.stage is not None
    return EngineKind(target.zone, target.stage, target.reclaimable)


def _set_slowdown(engines: Iterable[Engine], factor: float) -> None:
    for engine in engines:
        engine.slowdown = factor
