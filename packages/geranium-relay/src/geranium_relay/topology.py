"""The hosts that a host sends its updates to.

If all hosts send their updates to all others, each host receives as many
updates as there are hosts, and in a large fleet nearly all its processor time
goes into them. Above a number of hosts, the hosts of a zone therefore send
their updates to its aggregators, which report them to the zone and to the
aggregators of the other zones. A host receives a constant number of reports
then, whatever the size of the fleet.

A host whose aggregators are silent, or do not hear it, sends its updates to
all hosts directly, until other hosts have taken the place of the aggregators.
"""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import TypeAlias

from .messages import PeerIdentity


@dataclasses.dataclass(frozen=True, slots=True)
class FullMesh:
    """The updates go to all hosts."""


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneMember:
    """The updates go to the aggregators of the zone.

    Args:
        primary: The aggregator that passes on this host's dispatches.
        others: The other aggregators.
    """

    primary: PeerIdentity
    others: tuple[PeerIdentity, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneAggregator:
    """Reports go to the zone and to the aggregators of other zones.

    Args:
        remote_primaries: One aggregator of each other zone, which passes on
            the dispatches of this host's zone.
        remote_others: The other aggregators of other zones.
    """

    remote_primaries: tuple[PeerIdentity, ...]
    remote_others: tuple[PeerIdentity, ...]


Topology: TypeAlias = FullMesh | ZoneMember | ZoneAggregator


def other_zones(
    preferences: Iterable[Iterable[PeerIdentity]], own_zone: str
) -> dict[str, list[PeerIdentity]]:
    """Return the hosts of the other zones, by zone.

    Args:
        preferences: Hosts in groups of falling preference. A group counts for
            the zones that no group before it has a host of.
        own_zone: The zone that is left out.
    """
    peers_by_zone: dict[str, list[PeerIdentity]] = {}
    for group in preferences:
        known = {own_zone, *peers_by_zone}
        for peer in group:
            if peer.zone not in known:
                peers_by_zone.setdefault(peer.zone, []).append(peer)
    return peers_by_zone


def zone_member(
    peers: Iterable[PeerIdentity], count: int, spread: int
) -> ZoneMember | FullMesh:
    """Return the topology of a host that is not an aggregator.

    Args:
        peers: The usable hosts of its zone.
        count: Number of aggregators of a zone, which come first in it.
        spread: A number of this host that spreads the primaries.
    """
    aggregators = sorted(peers, key=lambda peer: peer.precedence)[:count]
    if not aggregators:
        return FullMesh()
    primary = aggregators.pop(spread % len(aggregators))
    return ZoneMember(primary, tuple(aggregators))


def zone_aggregator(
    peers_by_zone: Mapping[str, Iterable[PeerIdentity]],
    count: int,
    spread: int,
) -> ZoneAggregator:
    """Return the topology of an aggregator.

    Args:
        peers_by_zone: The hosts of the other zones.
        count: Number of aggregators of a zone.
        spread: The rank of this host among the aggregators of its zone.
    """
    members = [
        zone_member(peers, count, spread) for peers in peers_by_zone.values()
    ]
    known = [member for member in members if isinstance(member, ZoneMember)]
    return ZoneAggregator(
        tuple(member.primary for member in known),
        tuple(other for member in known for other in member.others),
    )
