"""Selection of the hosts of a zone that watch the store directly."""

from collections.abc import Iterable

from .rendezvous import rank_by_rendezvous_hash


def select_watchers(zone_hosts: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the hosts of a zone that watch the store.

    Every daemon selects the same hosts from the same membership. Adding or
    removing a host replaces at most one watcher.
    """
    return tuple(rank_by_rendezvous_hash(zone_hosts, 'watch')[:count])
