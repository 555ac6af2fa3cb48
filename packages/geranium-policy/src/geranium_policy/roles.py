"""Planning of engine roles: prefill, decode or mixed."""

import dataclasses
from collections.abc import Iterator, Sequence

from geranium_model import Drain, EngineCommand, Resume, Role, SetRole

from .forecasts import RoleDemand
from .role_policies import (
    FixedSplit,
    PlannedSplit,
    ReactiveThreshold,
    RolePolicy,
)
from .splits import Split, count_roles, likely_splits


@dataclasses.dataclass(frozen=True, slots=True)
class RoleSettings:
    """Settings of a role planner.

    Args:
        policy: Policy for role changes.
        max_changing_share: Maximum share of a service's engines that may
            change their roles at once; one always may.
        mixed_efficiency: Prefill speed of a mixed engine relative to a prefill
            engine.
    """

    policy: RolePolicy = dataclasses.field(default_factory=PlannedSplit)
    max_changing_share: float = 0.2
    mixed_efficiency: float = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRole:
    """An engine's role state.

    Args:
        engine: Name of the engine.
        role: Current role.
        wanted: Target role of a role change in progress, else ``None``.
        draining: Whether it takes no new work.
        sequences: Number of sequences that run or wait at the engine.
        changed_at: Instant of its last role change; minus infinity if
            unknown.
    """

    engine: str
    role: Role
    wanted: Role | None = None
    draining: bool = False
    sequences: int = 0
    changed_at: float = float('-inf')

    @property
    def planned(self) -> Role:
        """The role after any role change in progress."""
        return self.wanted or self.role


@dataclasses.dataclass(frozen=True, slots=True)
class RoleStep:
    """The next command for an engine and the role that it leads to."""

    engine: str
    command: EngineCommand
    wanted: Role
    reason: str


class RolePlanner:
    """Plans the roles of one service's engines.

    A role change drains the engine, sets the role once nothing runs, and
    resumes the engine once the role is set. No request is aborted, since a
    drain has no time limit. The progress of a change is part of the engines'
    state, so another planner can continue it.
    """

    def __init__(self, settings: RoleSettings) -> None:
        self._settings = settings
        self._worthwhile_since: float | None = None

    def plan(
        self,
        engines: Sequence[EngineRole],
        demand: RoleDemand,
        now: float,
    ) -> tuple[RoleStep, ...]:
        """Return the commands to send now, usually none."""
        steps = tuple(_continue_changes(engines))
        changing = sum(engine.wanted is not None for engine in engines)
        bound = int(self._settings.max_changing_share * len(engines))
        available_changes = max(bound, 1) - changing
        goal = self._target_split(engines, demand, now)
        if goal is None or available_changes <= 0:
            return steps
        return (
            *steps,
            *self._start_changes(engines, goal, available_changes, now),
        )

    def _target_split(
        self,
        engines: Sequence[EngineRole],
        demand: RoleDemand,
        now: float,
    ) -> Split | None:
        current = count_roles(engine.planned for engine in engines)
        best = self._best_split(current, demand)
        match self._settings.policy:
            case FixedSplit():
                return None
            case ReactiveThreshold(threshold=threshold):
                gain = self._gain(current, best, demand)
                return best if gain > threshold else None
            case PlannedSplit():
                worth = self._is_worthwhile(
                    self._settings.policy,
                    current,
                    best,
                    demand,
                )
                return best if self._has_held(worth, now) else None

    def _best_split(self, current: Split, demand: RoleDemand) -> Split:
        match self._settings.policy:
            case PlannedSplit(horizon_s=horizon_s, change_s=change_s):
                engine_seconds = horizon_s * max(current.engines, 1)
                price = change_s / engine_seconds
            case _:
                price = 0
        return min(
            likely_splits(current, demand, self._settings.mixed_efficiency),
            key=lambda split: (
                self._utilisation(split, demand)
                + price * current.changes_to(split),
                current.changes_to(split),
            ),
        )

    def _is_worthwhile(
        self,
        policy: PlannedSplit,
        current: Split,
        best: Split,
        demand: RoleDemand,
    ) -> bool:
        if self._utilisation(current, demand) <= policy.max_utilisation:
            return False
        return self._gain(current, best, demand) > policy.min_gain

    def _has_held(self, worth: bool, now: float) -> bool:
        if not worth:
            self._worthwhile_since = None
            return False
        if self._worthwhile_since is None:
            self._worthwhile_since = now
        match self._settings.policy:
            case PlannedSplit(hold_s=hold_s):
                return now - self._worthwhile_since >= hold_s
            case _:
                return True

    def _start_changes(
        self,
        engines: Sequence[EngineRole],
        goal: Split,
        available_changes: int,
        now: float,
    ) -> Iterator[RoleStep]:
        current = count_roles(engine.planned for engine in engines)
        lacking = _surplus(goal, current)
        lacking.sort(key=lacking.copy().count)
        surplus = _surplus(current, goal)
        idle_first = sorted(engines, key=lambda engine: engine.sequences)
        for engine in idle_first:
            if not available_changes or not lacking:
                return
            if engine.role in surplus and self._may_change(engine, now):
                surplus.remove(engine.role)
                available_changes -= 1
                yield RoleStep(
                    engine.engine,
                    Drain(),
                    lacking.pop(),
                    f'{goal} fits the work better',
                )

    def _may_change(self, engine: EngineRole, now: float) -> bool:
        if engine.wanted is not None or engine.draining:
            return False
        match self._settings.policy:
            case PlannedSplit(dwell_s=dwell_s):
                return now - engine.changed_at >= dwell_s
            case _:
                return True

    def _gain(self, current: Split, best: Split, demand: RoleDemand) -> float:
        used = self._utilisation(current, demand)
        return used - self._utilisation(best, demand)

    def _utilisation(self, split: Split, demand: RoleDemand) -> float:
        return split.utilisation(demand, self._settings.mixed_efficiency)


def _surplus(split: Split, other: Split) -> list[Role]:
    """Return the roles of which ``split`` has more, once for each engine."""
    return [
        role
        for role in Role
        for _ in range(split.count(role) - other.count(role))
    ]


def _continue_changes(engines: Sequence[EngineRole]) -> Iterator[RoleStep]:
    for engine in engines:
        command = _next_command(engine)
        if command is not None:
            yield RoleStep(
                engine.engine,
                command,
                engine.planned,
                'change under way',
            )


def _next_command(engine: EngineRole) -> EngineCommand | None:
    if engine.wanted is None:
        return None
    if engine.role is engine.wanted:
        return Resume()
    if not engine.draining:
        return Drain()
    return None if engine.sequences else SetRole(engine.wanted)
