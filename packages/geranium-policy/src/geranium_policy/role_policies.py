"""Policies for changes of engine roles."""

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class FixedSplit:
    """Baseline: never change roles."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReactiveThreshold:
    """Baseline: change when another split is better by ``threshold``."""

    threshold: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedSplit:
    """Change when the gain outweighs the cost of the change.

    Chooses the split that takes the fewest engine-seconds over the horizon,
    including its role changes.

    Args:
        max_utilisation: No change unless the utilisation of the busiest phase
            exceeds this.
        min_gain: Minimum reduction of the utilisation.
        hold_s: Time for which a change must have been worthwhile.
        horizon_s: Time for which the new split is expected to be used.
        change_s: Downtime of an engine for a change, including its drain.
        dwell_s: Minimum time for which an engine keeps its role.
    """

    max_utilisation: float = 1
    min_gain: float = 0.15
    hold_s: float = 2
    horizon_s: float = 60
    change_s: float = 8
    dwell_s: float = 20


RolePolicy: TypeAlias = FixedSplit | ReactiveThreshold | PlannedSplit
