"""Which other daemons a daemon keeps links to."""

import hashlib
from collections import defaultdict
from collections.abc import Iterable
from functools import partial

from .directory import Presence
from .settings import PeerSettings


def choose_neighbours(
    host: str,
    zone: str,
    peers: Iterable[Presence],
    settings: PeerSettings,
) -> tuple[Presence, ...]:
    """Return a bounded number of peers of each zone, by rendezvous hashing.

    Each daemon chooses others, so that together they are connected; a
    peer that comes or goes moves one link at most.
    """
    peers_by_zone: dict[str, list[Presence]] = defaultdict(list)
    for peer in sorted(peers, key=partial(_weight, host)):
        peers_by_zone[peer.zone].append(peer)
    chosen: list[Presence] = []
    for peer_zone, candidates in peers_by_zone.items():
        limit = settings.links_per_other_zone
        if peer_zone == zone:
            limit = settings.links_in_zone
        chosen.extend(candidates[:limit])
    return tuple(chosen)


def _weight(host: str, peer: Presence) -> bytes:
    return hashlib.sha256(f'{host}\0{peer.host}'.encode()).digest()
