"""Shrinkage of stale load reports towards their mean.

In large fleets, peer updates arrive less often than prompts are prefilled.
When a host receives a load report, the reported queue is mostly gone and
another engine has a queue that is not reported yet. The sum of all loads is
still accurate, so the loads of single engines are shrunk towards their mean,
more strongly for older reports. An engine that seems idle then counts as
about as busy as the others, and hosts move from a crowded stage to the other
one.
"""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class StaleLoadSettings:
    """Parameters of the shrinkage.

    Args:
        load_lifetime_s: Approximate time for which a prompt contributes to an
            engine's load: its queueing and prefill time.
    """

    load_lifetime_s: float = 0.3


def report_weight(settings: StaleLoadSettings, age_s: float) -> float:
    """Return the share of a reported load that still exists, from 0 to 1.

    Args:
        settings: Parameters of the shrinkage.
        age_s: Mean age of the peers' reports in seconds.
    """
    return settings.load_lifetime_s / (settings.load_lifetime_s + age_s)


def shrink_to_mean(
    reported_by_name: Mapping[str, float],
    weight: float,
) -> dict[str, float]:
    """Return estimated present loads of the engines of one stage."""
    if not reported_by_name:
        return {}
    mean = sum(reported_by_name.values()) / len(reported_by_name)
    return {
        name: weight * reported + (1 - weight) * mean
        for name, reported in reported_by_name.items()
    }
