"""Correction of a host's cluster time by that of the other hosts.

On a busy machine, updates wait before they are processed, so the sender's time
seems to be behind. If all hosts followed such differences, each would set its
time back by the delays of the others, again and again, and windows of usage
would become longer than they are.
"""

import collections
import statistics
from typing import TypeAlias

SAMPLE_S = 3.0  # contains several updates of each host

# Offsets of one host, each with the time at which its update arrived.
_Offsets: TypeAlias = collections.deque[tuple[float, float]]


class ClockOffsets:
    """The differences of other hosts' cluster time to that of this host.

    Delays only make a difference smaller, so the largest recent one of a host
    is the best estimate.

    Args:
        min_correction_s: Smaller differences are ignored.
    """

    def __init__(self, min_correction_s: float) -> None:
        self._min_correction_s = min_correction_s
        self._offsets_by_host: dict[str, _Offsets] = {}

    def record(self, host: str, offset_s: float, now: float) -> None:
        """Record the difference to a host whose update has just arrived."""
        offsets = self._offsets_by_host.setdefault(host, _Offsets())
        offsets.append((now, offset_s))
        while offsets[0][0] < now - SAMPLE_S:
            offsets.popleft()

    def take_correction_s(self, oldest: float) -> float:
        """Return the correction of this host's cluster time, in seconds.

        The correction is the median difference to the hosts whose updates
        arrived after ``oldest``, since most hosts are right at any time. The
        stored differences are reduced by it, so that a step is applied once
        even if the next updates are late.
        """
        estimates = [
            max(offset_s for _, offset_s in offsets)
            for offsets in self._offsets_by_host.values()
            if offsets[-1][0] > oldest
        ]
        if len(estimates) < 2:
            return 0
        step_s = statistics.median([*estimates, 0])
        if abs(step_s) <= self._min_correction_s:
            return 0
        for host, offsets in self._offsets_by_host.items():
            self._offsets_by_host[host] = _Offsets(
                (received_at, offset_s - step_s)
                for received_at, offset_s in offsets
            )
        return step_s
