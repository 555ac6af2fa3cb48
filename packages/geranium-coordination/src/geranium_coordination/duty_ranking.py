"""Ranking of the hosts for a duty, with the same result on every host."""

import hashlib
from collections.abc import Collection

_DIGEST_BYTES = 8


def rank_hosts(duty: str, hosts: Collection[str]) -> tuple[str, ...]:
    """Return the hosts by rendezvous hash, the preferred one first.

    Adding or removing a host doesn't change the order of the others.
    """
    return tuple(sorted(hosts, key=lambda host: _weight(duty, host)))


def rank_of(duty: str, host: str, hosts: Collection[str]) -> int:
    """Return the host's rank, 0 for the preferred one.

    The host is ranked among ``hosts`` even if it is not one of them.
    """
    own = _weight(duty, host)
    others = set(hosts) - {host}
    return sum(_weight(duty, other) < own for other in others)


def _weight(duty: str, host: str) -> tuple[bytes, str]:
    text = f'{duty}\n{host}'.encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return digest, host
