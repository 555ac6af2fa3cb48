"""Which broker a host delegates its shares to, and until when."""

import dataclasses
import math
from collections.abc import Sequence

from .limits import QuotaSettings
from .messages import Delegation


@dataclasses.dataclass(frozen=True, slots=True)
class _BrokerClock:
    """A time on the broker's clock, and when the answer with it arrived."""

    incarnation: int
    time_s: float
    heard_at: float


class BrokerChoice:
    """Delegates the shares of a host to one broker at a time.

    Args:
        own: Name of the host.
        settings: Times and bounds.
    """

    def __init__(self, own: str, settings: QuotaSettings) -> None:
        self._own = own
        self._settings = settings
        self._clock: _BrokerClock | None = None
        self._silent_until_by_host: dict[str, float] = {}
        self._heard_at = -math.inf
        self._renewals_unheard_since = math.inf
        self.broker = own
        self.delegated_until = -math.inf

    @property
    def is_own(self) -> bool:
        """Whether the host is its own broker."""
        return self.broker == self._own

    def update(self, candidates: Sequence[str], now: float) -> bool:
        """Choose the broker again; return whether it is another one.

        Args:
            candidates: The hosts that can be the broker, the best first.
            now: Current time in seconds.
        """
        if now - self._renewals_unheard_since > self._settings.heard_s:
            self.mark_silent(now)
        best = self._best(candidates, now)
        if best == self.broker or now < self.delegated_until:
            return False
        self.broker = best
        self._clock = None
        self._heard_at = -math.inf
        self._renewals_unheard_since = math.inf
        return True

    def renewal(
        self, candidates: Sequence[str], share: float, now: float
    ) -> Delegation | None:
        """Return the delegation to send to the broker now.

        There is none to a broker that isn't the best any more: the host
        changes its broker when the last delegation has ended.
        """
        if self.is_own or self.broker != self._best(candidates, now):
            return None
        self._renewals_unheard_since = min(self._renewals_unheard_since, now)
        clock = self._clock
        if clock is None:
            return Delegation(0, 0, 0)
        if share > 0:
            self.delegated_until = now + self._settings.delegation_s
        passed_s = now - clock.heard_at
        return Delegation(share, clock.incarnation, clock.time_s + passed_s)

    def record_clock(self, incarnation: int, time_s: float, now: float) -> bool:
        """Apply an answer to a delegation; return whether it was the first."""
        self.record_heard(self.broker, now)
        is_first = self._clock is None or self._clock.incarnation != incarnation
        self._clock = _BrokerClock(incarnation, time_s, now)
        return is_first

    def record_heard(self, host: str, now: float) -> None:
        """Record that a host has answered, which may have been the broker."""
        if host != self.broker:
            return
        self._heard_at = now
        self._renewals_unheard_since = math.inf

    def record_unanswered(self, host: str, asked_at: float, now: float) -> None:
        """Record an ask without an answer, though it was repeated."""
        if host == self.broker and self._heard_at <= asked_at:
            self.mark_silent(now)

    def mark_silent(self, now: float) -> None:
        """Choose another broker when the delegation ends."""
        silent = self._silent_until_by_host
        for host in tuple(silent):
            if silent[host] <= now:
                silent.pop(host)
        if not self.is_own:
            silent[self.broker] = now + self._settings.silence_s
        self._renewals_unheard_since = math.inf

    def _best(self, candidates: Sequence[str], now: float) -> str:
        silent = self._silent_until_by_host
        return next(
            (host for host in candidates if silent.get(host, now) <= now),
            self._own,
        )
