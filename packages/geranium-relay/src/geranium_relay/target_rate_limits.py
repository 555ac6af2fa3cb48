"""Rates that targets in need allow all hosts together.

A target that is short of capacity names in its responses how many requests a
second it takes from all hosts, for as long as it says so.
"""

import dataclasses
from collections.abc import Callable

from .decision_log import DecisionLog


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimitNotice:
    """What a response says of the request rate of its target.

    Args:
        per_s: Requests a second that the target takes from all hosts
            together; ``None`` if the response names no limit.
        sent_at: When the request had been sent.
    """

    per_s: float | None
    sent_at: float


@dataclasses.dataclass(slots=True)
class _Limit:
    per_s: float
    named_at: float


class TargetRateLimits:
    """Keeps the limits that targets have named, by target key.

    Args:
        clock: Returns the current time in seconds.
        log: Receives a record of each change.
    """

    def __init__(self, clock: Callable[[], float], log: DecisionLog) -> None:
        self._clock = clock
        self._log = log
        self._limits_by_key: dict[str, _Limit] = {}

    @property
    def limited_count(self) -> int:
        """Number of targets that are limited now."""
        return len(self._limits_by_key)

    def record(self, key: str, notice: RateLimitNotice) -> None:
        """Apply what a response says of its target's limit.

        A response without a limit lifts it if its request was sent after the
        limit was named: responses may overtake each other.
        """
        known = self._limits_by_key.get(key)
        previous = None if known is None else known.per_s
        if notice.per_s is None:
            if known is None or notice.sent_at <= known.named_at:
                return
            self._limits_by_key.pop(key)
        else:
            self._limits_by_key[key] = _Limit(notice.per_s, self._clock())
        if previous != notice.per_s:
            self._log.record(
                'target_limit_changed',
                target=key,
                limit_per_s=notice.per_s,
                previous_per_s=previous,
            )

    def remove_target(self, key: str) -> None:
        """Remove the limit of a target that no longer exists."""
        self._limits_by_key.pop(key, None)
