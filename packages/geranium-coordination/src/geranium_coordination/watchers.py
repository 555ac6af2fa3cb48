"""Which hosts of a zone watch the store first-hand."""

from collections.abc import Iterable

from .rendezvous import rank_by_rendezvous_hash


def select_watchers(zone_hosts: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the hosts of a zone that watch.

    Every daemon works out the same ones from the same membership. A host
    that comes or goes moves the duty of one watcher at most.
    """
    return tuple(rank_by_rendezvous_hash(zone_hosts, 'watch')[:count])
