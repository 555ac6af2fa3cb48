"""Rendezvous hashing, with the same result on every host."""

import hashlib
from collections.abc import Iterable


def rank_by_rendezvous_hash(hosts: Iterable[str], key: str) -> list[str]:
    """Return the hosts ranked for a key, the preferred one first.

    Adding or removing a host doesn't change the order of the others.
    """
    return sorted(
        set(hosts),
        key=lambda host: hashlib.sha256(f'{key}\n{host}'.encode()).digest(),
    )


def claim_bucket_owner(bucket: int, hosts: Iterable[str]) -> str:
    """Return the host whose claim journal writes the bucket."""
    return rank_by_rendezvous_hash(hosts, f'claims/{bucket}')[0]
