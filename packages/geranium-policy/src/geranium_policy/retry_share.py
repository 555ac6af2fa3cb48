"""One host's part of a retry budget that all hosts share.

Answers callers and targets that fail together: every host would repeat at
once, and the repeats of all hosts add up at the targets. The budget allows a
ratio of the first sends plus a fixed allowance in any window. The ratio
splits by itself; the allowance is divided by the number of hosts, so that no
message is needed for a repeat.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RetryShareSettings:
    """The budget of all hosts together.

    Args:
        ratio: Repeats allowed for each first send.
        allowance: Repeats allowed besides in a window, of all hosts.
        window_s: Length of a window.
        used_share: Part of the budget that is used, so that sends that
            cross a window's edge stay within it.
    """

    ratio: float
    allowance: float
    window_s: float
    used_share: float = 0.7


class RetryShare:
    """Counts the sends of one service on one host."""

    def __init__(self, settings: RetryShareSettings) -> None:
        self.settings = settings
        self._first_sends = collections.deque[float]()
        self._repeats = collections.deque[float]()

    def record_first(self, now: float) -> None:
        """Count the first send of a request."""
        self._first_sends.append(now)

    def take(self, hosts: int, now: float) -> bool:
        """Take the right to one repeat if there is one.

        Args:
            hosts: Hosts that share the allowance.
            now: The present instant in seconds.
        """
        settings = self.settings
        self._forget_before(now - settings.window_s)
        allowed = settings.ratio * len(self._first_sends)
        allowed += settings.allowance / max(hosts, 1)
        if len(self._repeats) + 1 > allowed * settings.used_share:
            return False
        self._repeats.append(now)
        return True

    def refund(self) -> None:
        """Give back the right that was taken last and not used."""
        if self._repeats:
            self._repeats.pop()

    @property
    def recent_repeats(self) -> int:
        """Repeats of the last window, as of the last repeat."""
        return len(self._repeats)

    def _forget_before(self, oldest: float) -> None:
        for sends in (self._first_sends, self._repeats):
            while sends and sends[0] < oldest:
                sends.popleft()
