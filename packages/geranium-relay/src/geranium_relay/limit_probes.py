"""Sends a request now and then to limited targets that others are preferred to.

Only responses show that a target's limit has ended. The host that has the share
of a limit may prefer other targets, and none would learn of the end.
"""

from collections.abc import Iterable

from .target_rate_limits import TargetRateLimits
from .targets import Stage, Target


def targets_beside_due(
    targets: Iterable[Target],
    rate_limits: TargetRateLimits,
    avoid: frozenset[str],
) -> frozenset[str]:
    """Return the targets to leave out for one whose limit is to be checked.

    Empty if there is none. Engines of the other stage are not left out.
    """
    if not rate_limits.limited_count:
        return frozenset()
    usable = [target for target in targets if target.key not in avoid]
    due = next(
        (target for target in usable if rate_limits.is_due(target.key)), None
    )
    if due is None:
        return frozenset()
    reads = due.stage is Stage.PREFILL
    return frozenset(
        target.key
        for target in usable
        if target is not due and (target.stage is Stage.PREFILL) is reads
    )
