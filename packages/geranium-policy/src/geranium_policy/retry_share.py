"""One host's share of a retry budget that all hosts have in common.

When many requests fail together, every host retries at once and the retries
of all hosts add up at the targets. In any window, the budget allows retries
up to a ratio of the first sends plus a fixed allowance. The ratio applies to
each host's own sends, and the allowance is divided by the number of hosts, so
a retry needs no communication between hosts.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RetryShareSettings:
    """The retry budget of all hosts together.

    Args:
        ratio: Retries allowed for each first send.
        allowance: Additional retries allowed in a window, for all hosts.
        window_s: Length of a window.
        used_share: Share of the budget that is used, so that sends that
            cross the boundary of a window stay within its budget.
    """

    ratio: float
    allowance: float
    window_s: float
    used_share: float = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class RetryShareState:
    """What a decision on a retry was based on.

    Args:
        used: Retries in the last window.
        allowed: Retries that the share allows in a window.
        hosts: Number of hosts that share the allowance.
    """

    used: int
    allowed: float
    hosts: int


class RetryShare:
    """Counts the first sends and retries of one service on one host."""

    def __init__(self, settings: RetryShareSettings) -> None:
        self.settings = settings
        self._first_sends = collections.deque[float]()
        self._retries = collections.deque[float]()

    def record_first(self, now: float) -> None:
        """Record the first send of a request."""
        self._first_sends.append(now)

    def take(self, hosts: int, now: float) -> bool:
        """Take one retry from the budget.

        Args:
            hosts: Number of hosts that share the allowance.
            now: Current time in seconds.

        Returns:
            Whether the budget allowed the retry.
        """
        state = self.state(hosts, now)
        if state.used + 1 > state.allowed:
            return False
        self._retries.append(now)
        return True

    def state(self, hosts: int, now: float) -> RetryShareState:
        """Return how much of the share is used."""
        settings = self.settings
        self._prune(now - settings.window_s)
        allowed = settings.ratio * len(self._first_sends)
        allowed += settings.allowance / max(hosts, 1)
        return RetryShareState(
            len(self._retries), allowed * settings.used_share, hosts
        )

    def refund(self) -> None:
        """Return the last retry taken to the budget if it was not sent."""
        if self._retries:
            self._retries.pop()

    @property
    def recent_repeats(self) -> int:
        """Retries in the last window, as of the last call of :meth:`take`."""
        return len(self._retries)

    def _prune(self, oldest: float) -> None:
        for sends in (self._first_sends, self._retries):
            while sends and sends[0] < oldest:
                sends.popleft()
