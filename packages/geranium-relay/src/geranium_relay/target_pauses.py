"""When targets that hold requests back accept them again."""

import math
from collections.abc import Iterable, Iterator

from geranium_policy.prompt_placement import (
    NoEngine,
    Placement,
    PlacementDecision,
    TooBusy,
)

from .target_notices import TargetNotices
from .targets import Target


def pause_ends(
    targets: Iterable[Target], notices: TargetNotices, avoid: frozenset[str]
) -> Iterator[float]:
    """Yield when targets that hold requests back accept them again."""
    limits = notices.rate_limits
    for target in targets:
        end = notices.pause_end(target.key)
        if end is None and not limits.accepts_request(target.key):
            end = limits.permit_at(target.key)
        if end is not None and target.key not in avoid:
            yield end


def with_pauses(
    decision: PlacementDecision,
    pause_ends: Iterable[float],
    now: float,
) -> PlacementDecision:
    """Return a decision that waits at most for the end of the first pause."""
    match decision:
        case Placement():
            return decision
        case TooBusy(free_in_s=free_in_s):
            first_end = now + free_in_s
        case NoEngine():
            first_end = math.inf
    first_end = min((first_end, *pause_ends))
    return decision if math.isinf(first_end) else TooBusy(first_end - now)
