"""Settings of the selection of targets, and what it is given."""

import dataclasses
from collections.abc import Callable

from geranium_policy.engine_rates import CorrectionSettings, EngineRates
from geranium_policy.health import HealthSettings
from geranium_policy.load_estimates import DrainedLoadSettings, LoadEstimate
from geranium_policy.near_choices import (
    NearChoice,
    UniformChoice,
    WeightedChoice,
)
from geranium_policy.prompt_placement import PromptPlacementSettings
from geranium_policy.refusals import RefusalSettings
from geranium_policy.stale_loads import StaleLoadSettings
from geranium_policy.target_choice import TargetChoiceSettings

from .shared_rates import SharedRates
from .target_notices import TargetNotices

OCCUPANCY_S = 0.2  # of even loads; the objectives are 0.4 to 0.6 s


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSelectorSettings:
    """Settings of the policies that select targets.

    ``stale_loads`` estimates present loads from those that peers reported,
    ``near_choice`` weighs engines of similar cost.
    """

    prompts: PromptPlacementSettings = dataclasses.field(
        default_factory=PromptPlacementSettings,
    )
    targets: TargetChoiceSettings = dataclasses.field(
        default_factory=TargetChoiceSettings,
    )
    corrections: CorrectionSettings = dataclasses.field(
        default_factory=CorrectionSettings,
    )
    health: HealthSettings = dataclasses.field(
        default_factory=HealthSettings,
    )
    stale_loads: LoadEstimate = dataclasses.field(
        default_factory=StaleLoadSettings,
    )
    near_choice: NearChoice = dataclasses.field(
        default_factory=UniformChoice,
    )
    rates: EngineRates = dataclasses.field(
        default_factory=EngineRates,
    )
    refusals: RefusalSettings = dataclasses.field(
        default_factory=RefusalSettings,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class SelectorContext:
    """The location of this host and the age of its peer data.

    Args:
        zone: The availability zone of this host.
        mean_update_age_s: Returns the mean age of the peers' loads.
        notices: What targets have asked of this host.
        shared_rates: Rates of engines that all hosts learn together.
    """

    zone: str
    mean_update_age_s: Callable[[], float]
    notices: TargetNotices
    shared_rates: SharedRates = dataclasses.field(default_factory=SharedRates)


def even_load_settings() -> TargetSelectorSettings:
    """Return settings for fleets in which many hosts choose at once.

    Compared with the default in ``docs/design/even-load.md``.
    """
    return TargetSelectorSettings(
        prompts=PromptPlacementSettings(occupancy_s=OCCUPANCY_S),
        stale_loads=DrainedLoadSettings(),
        near_choice=WeightedChoice(),
    )


__all__ = [
    'SelectorContext',
    'SharedRates',
    'TargetSelectorSettings',
    'even_load_settings',
]
