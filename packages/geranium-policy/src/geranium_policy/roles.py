"""Roles: which engines read prompts and which generate."""

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
from .splits import Split, likely_splits, split_of


@dataclasses.dataclass(frozen=True, slots=True)
class RoleSettings:
    """Settings of a role planner.

    Args:
        policy: When roles change.
        max_changing_share: So many of a service's engines may be out for a
            change at once; one always may.
        mixed_efficiency: Speed at which a mixed engine reads prompts relative
            to a prefill engine.
    """

    policy: RolePolicy = dataclasses.field(default_factory=PlannedSplit)
    max_changing_share: float = 0.2
    mixed_efficiency: float = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRole:
    """An engine as the planner sees it.

    Args:
        engine: Its name.
        role: The role that it has.
        wanted: The role that it was chosen for while it is drained or
            changed, else ``None``.
        draining: Whether it takes no new work.
        sequences: What runs or waits at it.
        changed_at: When it took its role; minus infinity if long ago.
    """

    engine: str
    role: Role
    wanted: Role | None = None
    draining: bool = False
    sequences: int = 0
    changed_at: float = float('-inf')

    @property
    def planned(self) -> Role:
        """The role that it has once a change under way is done."""
        return self.wanted or self.role


@dataclasses.dataclass(frozen=True, slots=True)
class RoleStep:
    """The next command for an engine, and the role that it is meant for."""

    engine: str
    command: EngineCommand
    wanted: Role
    reason: str


class RolePlanner:
    """Plans the roles of one service's engines.

    The steps of a change are: drain, set the role once nothing runs, resume
    once the role is taken. Nothing is cut, as a drain waits as long as it
    takes. What is under way is kept in the views, so that another planner
    can go on from there.
    """

    def __init__(self, settings: RoleSettings) -> None:
        self._settings = settings
        self._worth_since: float | None = None

    def plan(
        self,
        engines: Sequence[EngineRole],
        demand: RoleDemand,
        now: float,
    ) -> tuple[RoleStep, ...]:
        """Return the commands to send now; most often there are none."""
        steps = tuple(_finishing(engines))
        changing = sum(engine.wanted is not None for engine in engines)
        bound = int(self._settings.max_changing_share * len(engines))
        room = max(bound, 1) - changing
        goal = self._goal(engines, demand, now)
        if goal is None or room <= 0:
            return steps
        return (*steps, *self._start(engines, goal, room, now))

    def _goal(
        self,
        engines: Sequence[EngineRole],
        demand: RoleDemand,
        now: float,
    ) -> Split | None:
        current = split_of(engine.planned for engine in engines)
        best = self._best(current, demand)
        match self._settings.policy:
            case FixedSplit():
                return None
            case ReactiveThreshold(threshold=threshold):
                gain = self._gain(current, best, demand)
                return best if gain > threshold else None
            case PlannedSplit():
                worth = self._is_worth(
                    self._settings.policy,
                    current,
                    best,
                    demand,
                )
                return best if self._has_held(worth, now) else None

    def _best(self, current: Split, demand: RoleDemand) -> Split:
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

    def _is_worth(
        self,
        policy: PlannedSplit,
        current: Split,
        best: Split,
        demand: RoleDemand,
    ) -> bool:
        if self._utilisation(current, demand) <= policy.comfort:
            return False
        return self._gain(current, best, demand) > policy.least_gain

    def _has_held(self, worth: bool, now: float) -> bool:
        if not worth:
            self._worth_since = None
            return False
        if self._worth_since is None:
            self._worth_since = now
        match self._settings.policy:
            case PlannedSplit(hold_s=hold_s):
                return now - self._worth_since >= hold_s
            case _:
                return True

    def _start(
        self,
        engines: Sequence[EngineRole],
        goal: Split,
        room: int,
        now: float,
    ) -> Iterator[RoleStep]:
        current = split_of(engine.planned for engine in engines)
        lacking = _surplus(goal, current)
        lacking.sort(key=lacking.copy().count)
        surplus = _surplus(current, goal)
        idle_first = sorted(engines, key=lambda engine: engine.sequences)
        for engine in idle_first:
            if not room or not lacking:
                return
            if engine.role in surplus and self._is_free(engine, now):
                surplus.remove(engine.role)
                room -= 1
                yield RoleStep(
                    engine.engine,
                    Drain(),
                    lacking.pop(),
                    f'{goal} fits the work better',
                )

    def _is_free(self, engine: EngineRole, now: float) -> bool:
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
    """Return the roles of which one split has more, once for each engine."""
    return [
        role
        for role in Role
        for _ in range(split.count(role) - other.count(role))
    ]


def _finishing(engines: Sequence[EngineRole]) -> Iterator[RoleStep]:
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
