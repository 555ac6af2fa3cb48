"""Rendezvous hashing: who does what, worked out alike by every host."""

import hashlib
from collections.abc import Iterable


def ranked(hosts: Iterable[str], subject: str) -> list[str]:
    """Return the hosts in the order in which they take a subject.

    A host that comes or goes changes nothing between the others.
    """
    return sorted(
        set(hosts),
        key=lambda host: hashlib.sha256(f'{subject}\n{host}'.encode()).digest(),
    )


def claim_bucket_owner(bucket: int, hosts: Iterable[str]) -> str:
    """Return the host whose claim journal writes a bucket."""
    return ranked(hosts, f'claims/{bucket}')[0]
