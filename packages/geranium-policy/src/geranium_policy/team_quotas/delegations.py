"""The shares of limits that hosts have delegated to a broker."""

import dataclasses
import math
from collections.abc import Hashable


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    share: float
    until: float


class Delegations:
    """Sums the shares that are in force, now and over time.

    The sum is at most 1, even while hosts disagree on their number.

    Args:
        now: Current time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._held_by_host: dict[Hashable, _Held] = {}
        # Not after the first end: renewals don't search for it again.
        self._check_at = math.inf
        self._counted_at = now
        self.share: float = 0
        self.share_seconds: float = 0

    def changes(self, host: Hashable, share: float, until: float) -> bool:
        """Return whether a delegation would change the share of its host."""
        if until <= self._counted_at:
            return False
        known = self._held_by_host.get(host)
        if known is None:
            return True
        return known.until <= until and known.share != share

    def set(self, host: Hashable, share: float, until: float) -> None:
        """Set the share of a host; an older delegation changes nothing.

        Time must have been advanced to the current time.
        """
        known = self._held_by_host.get(host)
        if until <= self._counted_at or (known and known.until > until):
            return
        self._held_by_host[host] = _Held(share, until)
        self._check_at = min(self._check_at, until)
        if known is None or known.share != share:
            self._sum()

    def remove(self, host: Hashable) -> None:
        """Remove the share of a host."""
        if self._held_by_host.pop(host, None) is not None:
            self._sum()

    def advance(self, now: float) -> None:
        """Count the time until now, and end the delegations that are over."""
        if self._check_at <= now:
            ends = sorted(
                (held.until, number, host)
                for number, (host, held) in enumerate(
                    self._held_by_host.items()
                )
                if held.until <= now
            )
            for until, _, host in ends:
                self._count(until)
                self.remove(host)
            held_until = (held.until for held in self._held_by_host.values())
            self._check_at = min(held_until, default=math.inf)
        self._count(now)

    def _count(self, now: float) -> None:
        if now > self._counted_at:
            self.share_seconds += self.share * (now - self._counted_at)
            self._counted_at = now

    def _sum(self) -> None:
        shares = (held.share for held in self._held_by_host.values())
        self.share = min(math.fsum(shares), 1)
