"""Role policies: when a service's engines change their roles."""

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class FixedSplit:
    """Baseline: roles stay as they are."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReactiveThreshold:
    """Baseline: change whenever another split is better by ``threshold``."""

    threshold: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedSplit:
    """Change when the gain outweighs what the change costs.

    The split is chosen that takes the fewest engine-seconds over the
    horizon, its changes included.

    Args:
        comfort: No change while the busiest phase is below this utilisation.
        least_gain: Utilisation that a change must take off.
        hold_s: A change must have been worth it for so long.
        horizon_s: How long the new split is expected to be of use.
        change_s: How long an engine is out for a change, drain included.
        dwell_s: An engine keeps its role for at least so long.
    """

    comfort: float = 1
    least_gain: float = 0.15
    hold_s: float = 2
    horizon_s: float = 60
    change_s: float = 8
    dwell_s: float = 20


RolePolicy: TypeAlias = FixedSplit | ReactiveThreshold | PlannedSplit
