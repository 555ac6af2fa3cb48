"""Which hosts of a zone watch the store first-hand."""

import hashlib
from collections.abc import Iterable


def watchers(zone_hosts: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the hosts of a zone that watch, by rendezvous hashing.

    Every daemon works out the same ones from the same membership. A host
    that comes or goes moves the duty of one watcher at most.
    """
    ranked = sorted(set(zone_hosts), key=_weight, reverse=True)
    return tuple(ranked[:count])


def _weight(host: str) -> tuple[bytes, str]:
    return hashlib.sha256(host.encode()).digest(), host
