"""Targets that must get no requests although their entries are ready.

During a release, targets stop one after the other, and a list entry may say
for seconds that a stopping target is ready, or say so again if the store is
restored from an older copy. Under overload, targets refuse requests and ask
for a pause; hosts that go on sending keep them overloaded.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable

from .decision_log import DecisionLog
from .target_rate_limits import (
    AdvertisedRateLimit,
    RateLimitNotice,
    TargetRateLimits,
)
from .targets import FleetChange, Target

KEPT_DEPARTURES = 4096  # starts of targets, the oldest are dropped
DEPARTURE_REPEAT_S = 2.0  # sent to peers again since datagrams may be lost
GONE_KEPT_S = 30.0  # longer than what a restored store loses
RETURN_CHECK_S = 6.0  # entries of stopped targets are removed within it


@dataclasses.dataclass(frozen=True, slots=True)
class TargetNotice:
    """What a response says of the target that sent it.

    Args:
        leaving: Whether the target is about to stop.
        paused_until: Until when it accepts no requests from this host;
            ``None`` if it did not ask for a pause.
        rate_limit: What it says of its request rate, if anything.
    """

    leaving: bool = False
    paused_until: float | None = None
    rate_limit: RateLimitNotice | None = None


class TargetNotices:
    """Keeps the notices of targets, by the key of one start of a target.

    A leaving target stays so for the rest of its start, whatever its entry in
    the store says. A restarted target has another key.

    Args:
        clock: Returns the current time in seconds.
        log: Receives a record of each new notice.
        rate_limits: Receives the rates that targets name.

    ``on_departure`` is called after a target announced that it leaves.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        log: DecisionLog,
        rate_limits: TargetRateLimits,
    ) -> None:
        self.rate_limits = rate_limits
        self.on_departure: Callable[[], None] | None = None
        self._clock = clock
        self._log = log
        self._told_at_by_key: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._paused_until_by_key: dict[str, float] = {}
        self._gone_at_by_key: dict[str, float] = {}

    def record(self, target: Target, notice: TargetNotice) -> None:
        """Apply the notice in a response of a target."""
        if notice.paused_until is not None:
            self._pause(target.key, notice.paused_until)
        if notice.rate_limit is not None:
            self.rate_limits.record(target.key, notice.rate_limit)
        if notice.leaving and self._add_departure(target.key, peer=None):
            if self.on_departure is not None:
                self.on_departure()

    def record_peer_departures(self, keys: Iterable[str], peer: str) -> None:
        """Apply the departures that a peer has sent."""
        for key in keys:
            self._add_departure(key, peer=peer)

    def record_list_change(self, change: FleetChange) -> None:
        """Record targets that leave or are gone by their entries."""
        for target in (*change.came, *change.leaving):
            if target.leaving:
                self._remember(target.key)
        now = self._clock()
        for gone in change.gone:
            self._gone_at_by_key[gone.key] = now
            self.rate_limits.remove_target(gone.key)
        self._gone_at_by_key = {
            key: gone_at
            for key, gone_at in self._gone_at_by_key.items()
            if gone_at > now - GONE_KEPT_S
        }

    def hold_gone_targets(self) -> None:
        """Use no target that was gone until its entry can be trusted again.

        To be called when the store was restored: the copy lists targets that
        have stopped since, whose entries it removes again after some seconds.
        """
        now = self._clock()
        for key, gone_at in self._gone_at_by_key.items():
            if gone_at > now - GONE_KEPT_S:
                self._pause(key, now + RETURN_CHECK_S)

    def accepts_requests(self, key: str) -> bool:
        """Return whether a target may be sent a request now."""
        return not self.is_leaving(key) and self.pause_end(key) is None

    def is_leaving(self, key: str) -> bool:
        """Return whether a target has announced that it leaves."""
        return key in self._told_at_by_key

    def pause_end(self, key: str) -> float | None:
        """Return when the pause of a target ends, if it is paused now."""
        until = self._paused_until_by_key.get(key)
        if until is None:
            return None
        if until <= self._clock():
            self._paused_until_by_key.pop(key)
            return None
        return until

    def recent_departures(self) -> tuple[str, ...]:
        """Return the keys of targets whose departure peers may not know."""
        oldest = self._clock() - DEPARTURE_REPEAT_S
        recent = []
        for key, told_at in reversed(self._told_at_by_key.items()):
            if told_at < oldest:
                break
            recent.append(key)
        return tuple(recent)

    def _pause(self, key: str, until: float) -> None:
        known = self.pause_end(key)
        if known is not None and known >= until:
            return
        self._paused_until_by_key[key] = until
        self._log.record(
            'target_paused',
            target=key,
            pause_s=round(until - self._clock(), 3),
        )

    def _add_departure(self, key: str, *, peer: str | None) -> bool:
        """Add a departure; return whether it was unknown."""
        if not self._remember(key):
            return False
        self._log.record('target_announced_departure', target=key, peer=peer)
        return True

    def _remember(self, key: str) -> bool:
        """Keep a departure; return whether it was unknown."""
        if key in self._told_at_by_key:
            return False
        self._told_at_by_key[key] = self._clock()
        if len(self._told_at_by_key) > KEPT_DEPARTURES:
            self._told_at_by_key.popitem(last=False)
        return True


__all__ = [
    'AdvertisedRateLimit',
    'RateLimitNotice',
    'TargetNotice',
    'TargetNotices',
    'TargetRateLimits',
]
