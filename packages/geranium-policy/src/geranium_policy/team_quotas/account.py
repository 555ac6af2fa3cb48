"""The tokens of a team that a host holds."""

import collections
import dataclasses
import math
from collections.abc import Iterator

from .limits import QuotaSettings


@dataclasses.dataclass(frozen=True, slots=True)
class Debit:
    """Tokens that were taken for a request, and when their grant ends."""

    tokens: float
    until: float


@dataclasses.dataclass(slots=True)
class QuotaCounts:
    """What an account has counted since they were last read."""

    asked: float = 0
    granted: float = 0
    refused: float = 0
    lapsed: float = 0


_NOTHING = QuotaCounts()


class QuotaAccount:
    """Granted tokens, each usable until its grant ends.

    Args:
        settings: Times and bounds.
        now: Current time in seconds.
        free_until: Until when the team isn't limited.
    """

    def __init__(
        self, settings: QuotaSettings, now: float, free_until: float = -math.inf
    ) -> None:
        self._settings = settings
        self._free_until = free_until
        self._grants = collections.deque[Debit]()
        self._use_per_s: float = 0
        self._use_at = now
        self.granted_at = -math.inf
        self.counts = QuotaCounts()

    def take_counts(self) -> Iterator[tuple[str, float]]:
        """Yield what was counted since the last call, unless it is 0."""
        counts = self.counts
        if counts == _NOTHING:
            return
        self.counts = QuotaCounts()
        for kind, amount in dataclasses.asdict(counts).items():
            if amount:
                yield kind, amount

    def is_free(self, now: float) -> bool:
        """Return whether the team isn't limited yet."""
        return now < self._free_until

    def balance(self, now: float) -> float:
        """Return the tokens that can be taken now."""
        while self._grants and self._grants[0].until <= now:
            self.counts.lapsed += self._grants.popleft().tokens
        return math.fsum(grant.tokens for grant in self._grants)

    def take(self, cost: float, now: float) -> Debit | None:
        """Take the tokens of a request, if there are enough."""
        if self.balance(now) < cost:
            return None
        until = math.inf
        left = cost
        while left > 0 and self._grants:
            grant = self._grants.popleft()
            until = min(until, grant.until)
            used = min(grant.tokens, left)
            left -= used
            if grant.tokens > used:
                rest = Debit(grant.tokens - used, grant.until)
                self._grants.appendleft(rest)
        self._record_use(cost, now)
        return Debit(cost, until)

    def add(self, tokens: float, until: float, now: float) -> None:
        """Add the tokens of a grant that ends at a time."""
        self.granted_at = now
        self.counts.granted += tokens
        self._insert(Debit(tokens, until), now)

    def give_back(self, debit: Debit, now: float) -> None:
        """Return the tokens of a request that was not run."""
        if math.isfinite(debit.until):
            self._insert(debit, now)

    def reserve(self, now: float) -> float:
        """Return how many tokens to ask for in advance."""
        self._record_use(0, now)
        wanted = self._use_per_s * self._settings.reserve_s
        return max(wanted - self.balance(now), 0)

    def _insert(self, grant: Debit, now: float) -> None:
        if grant.until <= now:
            self.counts.lapsed += grant.tokens
        elif grant.tokens > 0:
            self._grants.append(grant)
            ordered = sorted(self._grants, key=_end_of)
            self._grants = collections.deque(_merge(ordered))

    def _record_use(self, cost: float, now: float) -> None:
        """Average the use over about a second."""
        passed_s = max(now - self._use_at, 0)
        self._use_at = now
        self._use_per_s = self._use_per_s * math.exp(-passed_s) + cost


def _end_of(grant: Debit) -> float:
    return grant.until


def _merge(grants: list[Debit]) -> list[Debit]:
    """Join grants whose ends are close, which bounds their number."""
    merged: list[Debit] = []
    for grant in grants:
        if merged and grant.until - merged[-1].until < MERGE_S:
            tokens = merged[-1].tokens + grant.tokens
            merged[-1] = Debit(tokens, merged[-1].until)
        else:
            merged.append(grant)
    return merged


MERGE_S = 0.02  # a grant ends at most so much earlier than it could
