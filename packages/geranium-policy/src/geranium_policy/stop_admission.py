"""Decides what a process that stops may still begin.

A response that is cut by the end of its process is lost for its caller, and so
is the work of its target. A request that is refused at once goes to another
process instead.
"""

import dataclasses
import math
from typing import TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class Completes:
    """The request ends before the process does.

    Args:
        needed_s: The time that the request may take.
        left_s: The time that is left for it; ``inf`` if the process runs on.
    """

    needed_s: float = dataclasses.field(default=0, compare=False)
    left_s: float = dataclasses.field(default=math.inf, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class CutShort:
    """The process may end before the request.

    Args:
        needed_s: The time that the request may take.
        left_s: The time that is left for it.
    """

    needed_s: float
    left_s: float


StopDecision: TypeAlias = Completes | CutShort


def judge_completion(
    started_at: float,
    estimate_s: float,
    ends_by: float,
    stops_at: float,
) -> StopDecision:
    """Decide whether a request ends before its process stops.

    Args:
        started_at: When the request begins.
        estimate_s: The time that it takes at most; ``inf`` if unknown.
        ends_by: When it ends in any case, because of its deadline.
        stops_at: When the process ends all requests; ``inf`` if it runs on.
    """
    needed_s = min(estimate_s, ends_by - started_at)
    left_s = stops_at - started_at
    if needed_s <= left_s or math.isinf(left_s):
        return Completes(needed_s, left_s)
    return CutShort(needed_s, left_s)
