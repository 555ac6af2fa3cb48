"""Random choices among options of similar cost.

Hosts with the same view would otherwise all choose the same target until they
receive each other's updates.
"""

import dataclasses
import random
from collections.abc import Sequence
from typing import TypeAlias, TypeVar

_Option = TypeVar('_Option')
_MIN_WEIGHT = 0.000001  # of an option at the limit, if it is the only one


@dataclasses.dataclass(frozen=True, slots=True)
class UniformChoice:
    """All options within a fixed cost difference are equally likely."""


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedChoice:
    """Cheaper options are more likely, and older information widens the choice.

    The weight of an option falls linearly to 0 at the limit. Within the age of
    the information all hosts together send more requests than one option has
    room for, so the cost difference within which the choice is random grows
    with the age.

    Args:
        spread_per_s: Growth of the cost difference for each second of age.
    """

    spread_per_s: float = 0.2


NearChoice: TypeAlias = UniformChoice | WeightedChoice


def choose_near(
    choice: NearChoice,
    options: Sequence[tuple[float, _Option]],
    spread: float,
    age_s: float,
    source: random.Random,
) -> _Option:
    """Return one of the cheapest options.

    Args:
        choice: How they are weighted.
        options: Costs and options, at least one.
        spread: Cost difference within which the choice is random.
        age_s: Mean age of the information in seconds.
        source: Random numbers.
    """
    limit = min(cost for cost, _ in options) + spread
    match choice:
        case UniformChoice():
            return source.choice(
                [option for cost, option in options if cost <= limit]
            )
        case WeightedChoice(spread_per_s=spread_per_s):
            limit += spread_per_s * age_s
            near = [option for option in options if option[0] <= limit]
            weights = [limit - cost + _MIN_WEIGHT for cost, _ in near]
            return source.choices([option for _, option in near], weights)[0]
