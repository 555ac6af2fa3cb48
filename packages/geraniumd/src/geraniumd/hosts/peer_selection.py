"""Selection of the peers that a daemon connects to."""

import hashlib
from collections import defaultdict
from collections.abc import Iterable
from functools import partial

from ..process import PeerSettings
from .directory import Presence
from .voters import select_voters


def select_peers(
    host: str,
    zone: str,
    peers: Iterable[Presence],
    settings: PeerSettings,
) -> tuple[Presence, ...]:
    """Return all voters and a bounded number of peers of each zone.

    Peers of a zone are selected by rendezvous hashing. Each daemon selects
    different peers, which keeps the whole graph connected, and a peer that
    joins or leaves changes at most one link. Every daemon connects to the
    voters.
    """
    peers = tuple(peers)
    voters = select_voters((host, *(peer.host for peer in peers)))
    chosen = {peer.host: peer for peer in peers if peer.host in voters}
    for peer in _nearest(host, zone, peers, settings):
        chosen[peer.host] = peer
    return tuple(chosen.values())


def _nearest(
    host: str,
    zone: str,
    peers: Iterable[Presence],
    settings: PeerSettings,
) -> tuple[Presence, ...]:
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
