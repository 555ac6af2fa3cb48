"""Hosts, targets and target orders of the platform."""

import dataclasses
from collections.abc import Iterator

from geranium_model import (
    Host,
    Purchase,
    Target,
    TargetOrder,
    TargetState,
)

from .lagged_table import LaggedTable


@dataclasses.dataclass(frozen=True, slots=True)
class FleetTiming:
    """Start delay and leave notice of targets, in seconds."""

    start_s: float
    notice_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Group:
    service: str
    zone: str
    purchase: Purchase


@dataclasses.dataclass(frozen=True, slots=True)
class _Standby:
    target: Target
    available_at: float


class Fleet:
    """Hosts and targets of the platform.

    It starts and stops no processes: an order activates registered standby
    targets. A target released by an order becomes available as standby again
    after its notice; an evicted target does not. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self.hosts: LaggedTable[Host] = LaggedTable()
        self.targets: LaggedTable[Target] = LaggedTable()
        self._standby_by_name: dict[str, _Standby] = {}
        self._orders_by_group: dict[_Group, TargetOrder] = {}

    def add_standby(
        self,
        target: Target,
        timing: FleetTiming,
        now: float,
    ) -> None:
        """Register a standby target for orders to start."""
        self.targets.set_row(target.name, None, now)
        self._standby_by_name[target.name] = _Standby(target, now)
        group = _group_of(target)
        if group in self._orders_by_group:
            self._start_missing(group, timing, now)

    def set_target(self, target: Target, now: float) -> None:
        """Register a target with its given state."""
        self._standby_by_name.pop(target.name, None)
        self.targets.set_row(target.name, target, now)

    def remove_target(self, name: str, now: float) -> bool:
        """Remove a target and return whether it existed."""
        standby = self._standby_by_name.pop(name, None)
        present = self.targets.row(name, now)
        self.targets.set_row(name, None, now)
        return standby is not None or present is not None

    def order(
        self,
        order: TargetOrder,
        timing: FleetTiming,
        now: float,
    ) -> None:
        """Start or release targets to reach the ordered count."""
        group = _Group(order.service, order.zone, order.purchase)
        self._orders_by_group[group] = order
        active = tuple(self._active(group, now))
        for target in active[order.count :]:
            self._leave(target, timing, now)
            self._standby_by_name[target.name] = _Standby(
                target,
                now + timing.notice_s,
            )
        self._start_missing(group, timing, now)

    def evict(
        self,
        zone: str,
        purchase: Purchase,
        timing: FleetTiming,
        now: float,
    ) -> tuple[str, ...]:
        """Evict a zone's targets with a purchase kind; return their names.

        They are in state leaving until the notice has passed. Matching standby
        targets are removed at once and not returned.
        """
        for name, standby in tuple(self._standby_by_name.items()):
            if (standby.target.zone, standby.target.purchase) == (
                zone,
                purchase,
            ):
                self._standby_by_name.pop(name)
        evicted = [
            row
            for row in self.targets.rows(now)
            if (row.zone, row.purchase) == (zone, purchase)
        ]
        for target in evicted:
            self._leave(target, timing, now)
        return tuple(row.name for row in evicted)

    def _active(self, group: _Group, now: float) -> Iterator[Target]:
        for target in self.targets.rows(now):
            if target.state is TargetState.LEAVING:
                continue
            if _group_of(target) == group:
                yield target

    def _leave(self, target: Target, timing: FleetTiming, now: float) -> None:
        leaving = dataclasses.replace(target, state=TargetState.LEAVING)
        self.targets.set_row(target.name, leaving, now)
        self.targets.set_row(target.name, None, now + timing.notice_s)

    def _start_missing(
        self,
        group: _Group,
        timing: FleetTiming,
        now: float,
    ) -> None:
        active = len(tuple(self._active(group, now)))
        missing = self._orders_by_group[group].count - active
        ready = [
            standby.target
            for standby in self._standby_by_name.values()
            if standby.available_at <= now
            and _group_of(standby.target) == group
        ]
        for target in ready[: max(0, missing)]:
            self._start(target, timing, now)

    def _start(self, target: Target, timing: FleetTiming, now: float) -> None:
        self._standby_by_name.pop(target.name)
        starting = dataclasses.replace(target, state=TargetState.STARTING)
        live = dataclasses.replace(target, state=TargetState.LIVE)
        self.targets.set_row(target.name, starting, now)
        self.targets.set_row(target.name, live, now + timing.start_s)


def _group_of(target: Target) -> _Group:
    return _Group(target.service, target.zone, target.purchase)
