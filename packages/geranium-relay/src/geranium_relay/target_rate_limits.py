"""Rates that targets in need allow all hosts together.

A target that is short of capacity names in its responses how many requests a
second it takes from all hosts, for as long as it says so. Hosts tell each other
what they have learned, and each sends no more than its share.
"""

import dataclasses
import math
from collections.abc import Callable, Mapping

from geranium_policy.rate_shares import (
    RatePermits,
    RateShareSettings,
    share_per_s,
    sharing_hosts,
)

from .decision_log import DecisionLog
from .peer_updates import name_hash
from .rate_limit_updates import AdvertisedRateLimit, rounded_rate
from .zone_reports import MS_IN_S

MAX_ADVERTISED_LIMITS = 256  # keeps a datagram below 64 kB
LIFT_REPEAT_S = 5.0  # sent to peers again since datagrams may be lost
CHECK_INTERVAL_S = 1.0  # without a response that names a limit or none
SHARE_INTERVAL_S = 0.2  # shares follow changes of the fleet within it


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
    """The last known limit of a target.

    Args:
        per_s: ``None`` if it was lifted.
        observed_ms: Cluster time of the response that said so, in Unix
            milliseconds.
        learned_at: When this host learned it.
        permits: This host's permits for requests to the target.
        share_until: When this host's share is computed again.
    """

    per_s: float | None
    observed_ms: int
    learned_at: float
    permits: RatePermits
    share_until: float = -math.inf


class TargetRateLimits:
    """Keeps the limits that targets have named, by target key.

    Args:
        own: Name of this host.
        hosts: Returns the hosts that serve callers now, and whether they are in
            the zone of a target, given by its key.
        clock: Returns the current time in seconds.
        unix_time: Returns the cluster's Unix time in seconds.
        log: Receives a record of each change.
    """

    def __init__(
        self,
        own: str,
        hosts: Callable[[str], Mapping[str, bool]],
        clock: Callable[[], float],
        unix_time: Callable[[], float],
        log: DecisionLog,
    ) -> None:
        self._own = own
        self._hosts = hosts
        self._clock = clock
        self._unix_time = unix_time
        self._log = log
        self._settings = RateShareSettings()
        self._limits_by_key: dict[str, _Limit] = {}

    @property
    def limited_count(self) -> int:
        """Number of targets that are limited now."""
        return sum(
            known.per_s is not None for known in self._limits_by_key.values()
        )

    def record(self, key: str, notice: RateLimitNotice) -> None:
        """Apply what a response says of its target's limit.

        A response without a limit lifts it if its request was sent after the
        limit was learned: responses may overtake each other. Limits are rounded
        as in updates, so that all hosts know the same.
        """
        per_s = notice.per_s
        if per_s is None:
            known = self._in_force(key)
            if known is None or notice.sent_at <= known.learned_at:
                return
        else:
            per_s = rounded_rate(per_s)
        self._apply(key, per_s, self._now_ms(), peer=None)

    def record_peer_limit(
        self, key: str, limit: AdvertisedRateLimit, peer: str
    ) -> None:
        """Apply a limit that a peer has sent, unless it is outdated."""
        known = self._limits_by_key.get(key)
        if known is not None and known.observed_ms >= limit.observed_ms:
            return
        if known is None and limit.per_s is None:
            return
        observed_ms = min(limit.observed_ms, self._now_ms())
        self._apply(key, limit.per_s, observed_ms, peer=peer)

    def advertised(self) -> tuple[AdvertisedRateLimit, ...]:
        """Return what peers should know, the latest observations first."""
        oldest = self._clock() - LIFT_REPEAT_S
        listed = [
            AdvertisedRateLimit(name_hash(key), known.per_s, known.observed_ms)
            for key, known in self._limits_by_key.items()
            if known.per_s is not None or known.learned_at > oldest
        ]
        listed.sort(key=lambda limit: limit.observed_ms, reverse=True)
        return tuple(listed[:MAX_ADVERTISED_LIMITS])

    def permit_at(self, key: str) -> float | None:
        """Return when this host may send a target a request.

        That is now if the target is not limited, and ``None`` if other hosts
        have the whole limit.
        """
        now = self._clock()
        known = self._in_force(key)
        if known is None:
            return now
        self._update_share(key, known, now)
        return known.permits.next_at(now)

    def accepts_request(self, key: str) -> bool:
        """Return whether this host may send a target a request now."""
        if self._in_force(key) is None:
            return True
        permit_at = self.permit_at(key)
        return permit_at is not None and permit_at <= self._clock()

    def holders(self, key: str) -> frozenset[str]:
        """Return the other hosts that have shares of a target's limit."""
        known = self._in_force(key)
        if known is None or known.per_s is None:
            return frozenset()
        hosts = sharing_hosts(
            known.per_s, key, self._hosts(key), self._settings
        )
        return frozenset(hosts) - {self._own}

    def is_due(self, key: str) -> bool:
        """Return whether nobody has seen lately if a limit still holds.

        Only if this host may send the target a request.
        """
        known = self._in_force(key)
        if known is None:
            return False
        if self._clock() - known.learned_at < CHECK_INTERVAL_S:
            return False
        return self.accepts_request(key)

    def take(self, key: str) -> bool:
        """Count a request to a target; return whether the limit allows it."""
        known = self._in_force(key)
        if known is None:
            return True
        now = self._clock()
        self._update_share(key, known, now)
        return known.permits.take(now)

    def remove_target(self, key: str) -> None:
        """Remove the limit of a target that no longer exists."""
        self._limits_by_key.pop(key, None)

    def _in_force(self, key: str) -> _Limit | None:
        """Return the limit of a target unless it has none or it was lifted."""
        known = self._limits_by_key.get(key)
        return None if known is None or known.per_s is None else known

    def _apply(
        self, key: str, per_s: float | None, observed_ms: int, peer: str | None
    ) -> None:
        now = self._clock()
        known = self._limits_by_key.get(key)
        previous = None if known is None else known.per_s
        if known is None:
            permits = RatePermits(self._settings.burst_s, now)
            known = _Limit(per_s, observed_ms, now, permits)
            self._limits_by_key[key] = known
        known.observed_ms = observed_ms
        known.learned_at = now
        if previous == per_s:
            return
        known.per_s = per_s
        known.share_until = -math.inf
        self._log.record(
            'target_limit_changed',
            target=key,
            limit_per_s=per_s,
            previous_per_s=previous,
            peer=peer,
        )

    def _update_share(self, key: str, known: _Limit, now: float) -> None:
        if known.per_s is None or now < known.share_until:
            return
        known.share_until = now + SHARE_INTERVAL_S
        known.permits.set_rate(
            share_per_s(
                known.per_s, key, self._own, self._hosts(key), self._settings
            ),
            now,
        )

    def _now_ms(self) -> int:
        return int(self._unix_time() * MS_IN_S)


__all__ = [
    'AdvertisedRateLimit',
    'RateLimitNotice',
    'TargetRateLimits',
]
