"""One host's share of a request rate that all hosts have together.

A target in need takes a few requests a second from all hosts. Hosts that each
kept to that rate would send it many times as much, and a rate divided by all
hosts of a large fleet gives each less than one request in a whole burst of
callers. The rate is therefore divided among no more hosts than it has requests
a second. A hash selects them, so hosts that know the same hosts agree without
messages, and other targets are left to other hosts.
"""

import dataclasses
import heapq
from collections.abc import Mapping

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class RateShareSettings:
    """How a rate is divided.

    Args:
        min_share_per_s: Smallest share of a host, unless the whole rate is
            smaller.
        burst_s: Time whose requests a host may send at once. A host may always
            send a single one.
        min_rate_per_s: Lower rates are taken as this one, since only responses
            show that a target has recovered.
    """

    min_share_per_s: float = 1
    burst_s: float = 0.25
    min_rate_per_s: float = 0.01


def sharing_hosts(
    rate_per_s: float,
    subject: str,
    near_by_host: Mapping[str, bool],
    settings: RateShareSettings,
) -> list[str]:
    """Return the hosts among which a rate is divided.

    Args:
        rate_per_s: The rate of all hosts together.
        subject: What the rate applies to.
        near_by_host: The hosts that may share the rate, and whether they are near
            the subject. Near hosts come first: others would seldom use their
            shares.
        settings: How the rate is divided.
    """
    rate_per_s = max(rate_per_s, settings.min_rate_per_s)
    count = max(int(rate_per_s / settings.min_share_per_s), 1)
    return heapq.nsmallest(
        count,
        near_by_host,
        key=lambda host: (
            not near_by_host[host],
            xxhash.xxh3_64_intdigest(f'{subject}/{host}'.encode()),
        ),
    )


def share_per_s(
    rate_per_s: float,
    subject: str,
    own: str,
    near_by_host: Mapping[str, bool],
    settings: RateShareSettings,
) -> float:
    """Return this host's share of a rate, 0 if others have it all.

    Args:
        rate_per_s: The rate of all hosts together.
        subject: What the rate applies to.
        own: Name of this host.
        near_by_host: See :func:`sharing_hosts`.
        settings: How the rate is divided.
    """
    hosts = sharing_hosts(rate_per_s, subject, near_by_host, settings)
    if own not in hosts:
        return 0
    return max(rate_per_s, settings.min_rate_per_s) / len(hosts)


class RatePermits:
    """Permits for requests that accrue at a rate; none at the start.

    Args:
        burst_s: Time whose permits may accumulate.
        now: Current time in seconds.
    """

    def __init__(self, burst_s: float, now: float) -> None:
        self._burst_s = burst_s
        self._per_s: float = 0
        self._permits: float = 0
        self._filled_at = now

    def set_rate(self, per_s: float, now: float) -> None:
        """Let permits accrue at a rate from now on."""
        self._fill(now)
        self._per_s = per_s
        if not per_s:
            self._permits = 0

    def next_at(self, now: float) -> float | None:
        """Return when a permit can be taken; ``None`` if none accrues."""
        self._fill(now)
        if self._permits >= 1:
            return now
        if not self._per_s:
            return None
        return now + (1 - self._permits) / self._per_s

    def take(self, now: float) -> bool:
        """Take a permit; return whether there was one."""
        self._fill(now)
        if self._permits < 1:
            return False
        self._permits -= 1
        return True

    def _fill(self, now: float) -> None:
        passed_s = max(now - self._filled_at, 0)
        most = max(self._per_s * self._burst_s, 1)
        self._permits = min(self._permits + self._per_s * passed_s, most)
        self._filled_at = now
