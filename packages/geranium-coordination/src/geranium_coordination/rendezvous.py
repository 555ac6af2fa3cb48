"""Rendezvous hashing: who does what, worked out alike by every host."""

import hashlib
from collections.abc import Iterable


def rank_by_rendezvous_hash(hosts: Iterable[str], key: str) -> list[str]:
    """Return the hosts in the order in which they take a key.

    A host that comes or goes changes nothing between the others.
    """
    return sorted(
        set(hosts),
        key=lambda host: hashlib.sha256(f'{key}\n{host}'.encode()).digest(),
    )


def claim_bucket_owner(bucket: int, hosts: Iterable[str]) -> str:
    """Return the host whose claim journal writes a bucket."""
    return rank_by_rendezvous_hash(hosts, f'claims/{bucket}')[0]
