"""Whether a host reaches the targets of a service.

A host may lose its links to all targets while its callers and the other
hosts still reach it. A single target that accepts no connection says little:
it may have crashed or be silent for a moment. A host therefore tries several
targets of the service before it counts the service as cut.
"""

import dataclasses
import random
from collections.abc import Sequence
from typing import TypeVar

_Target = TypeVar('_Target')


@dataclasses.dataclass(frozen=True, slots=True)
class ReachSettings:
    """How the reach of a service is checked.

    Args:
        suspicion_sample: Maximum number of targets that a check tries after a
            failed call. It is large, since of many targets most may be down.
        cut_sample: The same while the service is cut.
        cut_interval_s: Interval of the checks while the service is cut.
        suspicion_interval_s: Minimum interval of the checks that failed calls
            cause while the service is reached.
    """

    suspicion_sample: int = 8
    cut_sample: int = 4
    cut_interval_s: float = 0.5
    suspicion_interval_s: float = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ReachCheck:
    """The result of a check: how many of the tried targets were reached."""

    tried: int
    reached: int


def draw_sample(
    targets: Sequence[_Target],
    settings: ReachSettings,
    source: random.Random,
    *,
    is_cut: bool,
) -> list[_Target]:
    """Return the targets that a check tries."""
    size = settings.cut_sample if is_cut else settings.suspicion_sample
    return source.sample(targets, min(size, len(targets)))


def needed_to_reach(tried: int, *, is_cut: bool) -> int:
    """Return how many tried targets must be reached for a good verdict.

    One is enough unless the service is cut. A cut ends with half of them, so
    that a host that reaches a single target does not change its mind at each
    check.
    """
    return max((tried + 1) // 2, 1) if is_cut else 1


def is_cut_after(check: ReachCheck, *, is_cut: bool) -> bool:
    """Return whether a service counts as cut after a check.

    A check without targets says nothing.
    """
    if not check.tried:
        return is_cut
    return check.reached < needed_to_reach(check.tried, is_cut=is_cut)
