"""Simulates a day with several policies on the same seeds."""

import dataclasses
import itertools
import statistics
from collections.abc import Iterable, Mapping, Sequence

from geranium_policy.prompt_placement import PromptPlacementSettings
from geranium_relay import TargetSelectorSettings

from .days import Day
from .plans import DayPlan
from .policies import POLICIES
from .results import DayResult


@dataclasses.dataclass(frozen=True, slots=True)
class Variant:
    """A policy and its overrides of the prompt placement settings.

    Args:
        policy: A key of ``POLICIES``.
        settings_by_name: Values by field of ``PromptPlacementSettings``.
    """

    policy: str
    settings_by_name: Mapping[str, float] = dataclasses.field(
        default_factory=dict,
    )

    @property
    def name(self) -> str:
        """The policy and its overrides, as given on the command line."""
        changed = [
            f'{name}={setting}'
            for name, setting in self.settings_by_name.items()
        ]
        return ':'.join((self.policy, *changed))


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """The results of one variant, one day per seed."""

    variant: Variant
    days: tuple[DayResult, ...]

    def mean(self, field: str) -> float:
        """Return the mean of a field of the results over all seeds."""
        return statistics.mean(float(getattr(day, field)) for day in self.days)


def compare(
    plan: DayPlan,
    variants: Iterable[Variant],
    seeds: Sequence[int],
) -> tuple[Comparison, ...]:
    """Return the results of each variant, highest mean worth first."""
    comparisons = [
        Comparison(
            variant,
            tuple(play(plan, variant, seed) for seed in seeds),
        )
        for variant in variants
    ]
    comparisons.sort(key=lambda one: one.mean('worth'), reverse=True)
    return tuple(comparisons)


def play(plan: DayPlan, variant: Variant, seed: int) -> DayResult:
    """Simulate one day."""
    settings = TargetSelectorSettings(
        prompts=PromptPlacementSettings(**variant.settings_by_name),
    )
    return Day(plan, POLICIES[variant.policy], settings, seed).play()


def rank_agreement(
    predicted: Sequence[float],
    measured: Sequence[float],
) -> float:
    """Return the share of pairs that both measures order alike.

    Pairs that are equal by either measure are left out. Without other pairs
    the result is 1.
    """
    both = tuple(zip(predicted, measured, strict=True))
    agreements = [
        _agreement(one, other) for one, other in itertools.combinations(both, 2)
    ]
    ordered_pairs = [one for one in agreements if one]
    if not ordered_pairs:
        return 1
    return sum(one > 0 for one in ordered_pairs) / len(ordered_pairs)


def _agreement(
    one: tuple[float, float],
    other: tuple[float, float],
) -> float:
    """Return a positive number if both measures order a pair alike.

    The result is 0 if the pair is equal by either measure.
    """
    predicted_gain = one[0] - other[0]
    return predicted_gain * (one[1] - other[1])
