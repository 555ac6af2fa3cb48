"""How fast datagrams may leave, so that nothing else waits for the link."""

import dataclasses
import math
from collections.abc import Callable

BITS = 8
MEGA = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class PaceSettings:
    """Which part of a link datagrams may take.

    Args:
        link_mbps: Speed of the link in Mbit/s; 0 if it is not known, and
            nothing is paced.
        share: Part of the link that datagrams take at most.
        burst_s: How long the link may be busy with datagrams that leave at
            once. Requests and the ends of calls wait so long behind them.
    """

    link_mbps: float = 0
    share: float = 0.5
    burst_s: float = 0.03

    @property
    def bytes_per_s(self) -> float:
        """What datagrams may take of the link; ``inf`` without a limit."""
        if not self.link_mbps:
            return math.inf
        return self.link_mbps * MEGA / BITS * self.share


class SendPace:
    """Decides when datagrams may leave, without I/O.

    Args:
        settings: Of the link.
        clock: Returns the current time in seconds.
    """

    def __init__(
        self, settings: PaceSettings, clock: Callable[[], float]
    ) -> None:
        self._rate = settings.bytes_per_s
        self._burst_s = settings.burst_s / settings.share
        self._clock = clock
        self._paid_until = -math.inf

    def take(self, size: int) -> bool:
        """Return whether a datagram may leave now, which it then does."""
        if self.wait_s():
            return False
        self._paid_until = max(self._paid_until, self._clock())
        self._paid_until += size / self._rate
        return True

    def wait_s(self) -> float:
        """Return the time until the next datagram may leave."""
        return max(self._paid_until - self._burst_s - self._clock(), 0)
