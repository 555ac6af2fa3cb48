"""One host's share of a retry budget that all hosts have in common.

When many requests fail together, every host retries at once and the retries
of all hosts add up at the targets. In any window, the budget allows calls
beyond the first of each request up to a ratio of the first sends plus a fixed
allowance. The ratio applies to each host's own sends, and the allowance is
divided by the number of hosts, so a retry needs no communication between
hosts.

A permit is taken before the call and counts from then on, so that calls that
wait for something else, such as a prefill, are not forgotten meanwhile. The
window begins with the call itself, when it reaches the target.
"""

import collections
import dataclasses
import enum
import itertools
import math
from collections.abc import Mapping


class RetryKind(enum.Enum):
    """What a call beyond the first of a request is."""

    RUN = 'run'
    PREFILL = 'prefill'


@dataclasses.dataclass(frozen=True, slots=True)
class RetryShareSettings:
    """The retry budget of all hosts together.

    Args:
        ratio: Retries allowed for each first send.
        allowance: Additional retries allowed in a window, for all hosts.
        window_s: Length of a window.
        used_share: Share of the budget that is used, so that sends that
            cross the boundary of a window stay within its budget.
        prefill_share: Share of the budget up to which prefill calls are made,
            runs included. Most of them give their permits back; without any,
            the engines that prefill would be idle when runs have used theirs.
    """

    ratio: float
    allowance: float
    window_s: float
    used_share: float = 0.7
    prefill_share: float = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class RetryShareState:
    """What a decision on a retry was based on.

    Args:
        used: Retries in the last window, and permits that are not used yet.
        used_by_runs: Those of them that are runs.
        allowed_by_kind: Retries that the share allows in a window.
        budget: The whole share of the budget.
        hosts: Number of hosts that share the allowance.
    """

    used: int
    used_by_runs: int
    allowed_by_kind: Mapping[RetryKind, float]
    budget: float
    hosts: int

    def has_left(self, kind: RetryKind, permits: int = 1) -> bool:
        """Return whether a number of permits can be taken.

        Runs keep to their own part, so that prefill calls under way, most of
        which give their permits back, leave them theirs.
        """
        if self.used + permits > self.budget:
            return False
        used = self.used_by_runs if kind is RetryKind.RUN else self.used
        return used + permits <= self.allowed_by_kind[kind]


@dataclasses.dataclass(slots=True, eq=False)
class RetryPermit:
    """A permit for one call beyond the first of a request.

    Args:
        kind: What the call is.
        sent_at: When the call was sent; ``None`` before.
    """

    kind: RetryKind
    sent_at: float | None = None


class RetryShare:
    """Counts the first sends and retries of one service on one host.

    A host that starts again does not know what the process before it has sent.
    It has no part of the allowance until those calls are out of the window.

    Args:
        settings: The budget of all hosts.
        started_at: Start of the process; ``-inf`` if none ran before it.
    """

    def __init__(
        self, settings: RetryShareSettings, started_at: float = -math.inf
    ) -> None:
        self.settings = settings
        self._started_at = started_at
        self._first_sends = collections.deque[float]()
        self._open: set[RetryPermit] = set()
        self._sent = collections.deque[RetryPermit]()

    def record_first(self, now: float) -> None:
        """Record the first send of a request."""
        self._first_sends.append(now)
        self._prune(now)

    def take(
        self, kind: RetryKind, hosts: int, now: float
    ) -> RetryPermit | None:
        """Take a permit for one call, if the budget has one left.

        Args:
            kind: What the call is.
            hosts: Number of hosts that share the allowance.
            now: Current time in seconds.
        """
        if not self.state(hosts, now).has_left(kind):
            return None
        permit = RetryPermit(kind)
        self._open.add(permit)
        return permit

    def use(self, permit: RetryPermit, now: float) -> None:
        """Record that the call of a permit is sent now."""
        if permit in self._open:
            self._open.remove(permit)
            permit.sent_at = now
            self._sent.append(permit)

    def refund(self, permit: RetryPermit) -> None:
        """Return a permit to the budget: its call does not count."""
        self.discard(permit)
        if permit in self._sent:
            self._sent.remove(permit)

    def discard(self, permit: RetryPermit) -> None:
        """Return a permit to the budget unless its call was sent."""
        self._open.discard(permit)

    def state(self, hosts: int, now: float) -> RetryShareState:
        """Return how much of the share is used."""
        settings = self.settings
        self._prune(now)
        allowed = settings.ratio * len(self._first_sends)
        if self._started_at <= now - settings.window_s:
            allowed += settings.allowance / max(hosts, 1)
        return RetryShareState(
            self.recent_repeats,
            sum(
                permit.kind is RetryKind.RUN
                for permit in itertools.chain(self._open, self._sent)
            ),
            {
                RetryKind.RUN: allowed * settings.used_share,
                RetryKind.PREFILL: allowed * settings.prefill_share,
            },
            allowed,
            hosts,
        )

    @property
    def recent_repeats(self) -> int:
        """Retries in the last window, as of the last call of a method."""
        return len(self._open) + len(self._sent)

    def _prune(self, now: float) -> None:
        oldest = now - self.settings.window_s
        while self._first_sends and self._first_sends[0] < oldest:
            self._first_sends.popleft()
        while self._sent and _is_older(self._sent[0], oldest):
            self._sent.popleft()


def _is_older(permit: RetryPermit, oldest: float) -> bool:
    return permit.sent_at is not None and permit.sent_at < oldest
