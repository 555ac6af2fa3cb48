"""How far a host goes by what others last told of their loads.

Answers fleets with many hosts. News come more seldom there than prompts are
read: when a host hears of a queue, that queue is mostly gone, and there is
another one elsewhere of which it will hear as late. The sum of all that is
told is still right, so that the told loads of single engines are drawn towards
their mean, the more so the older news are. An engine that looks idle then
counts as about as busy as the others, and hosts leave a crowded stage for the
other one.
"""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class StaleLoadSettings:
    """How loads grow stale.

    Args:
        life_s: About the time for which a prompt counts at an engine: its
            wait and its reading.
    """

    life_s: float = 0.3


def report_weight(settings: StaleLoadSettings, age_s: float) -> float:
    """Return the part of a told load that is still there, from 0 to 1.

    Args:
        settings: How loads grow stale.
        age_s: The mean age of what others told, in seconds.
    """
    return settings.life_s / (settings.life_s + age_s)


def shrink_to_mean(
    told_by_name: Mapping[str, float],
    trust: float,
) -> dict[str, float]:
    """Return told loads of engines of one stage as they may be by now."""
    if not told_by_name:
        return {}
    mean = sum(told_by_name.values()) / len(told_by_name)
    return {
        name: trust * told + (1 - trust) * mean
        for name, told in told_by_name.items()
    }
