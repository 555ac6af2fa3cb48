"""Reachability between daemons over their links, at any size."""

import statistics
from collections.abc import Iterator, Mapping, Sequence

from geraniumd.hosts import (
    REPLICA_COUNT,
    VOTER_COUNT,
    Presence,
    select_peers,
    select_voters,
)
from geraniumd.process import PeerSettings

from .figures import Figure
from .world import zone_name

_ELECTOR_MAJORITY = VOTER_COUNT // 2 + 1
_PERCENT = 100
# Daemons and zones: current sizes, then the design size.
_SIZES = ((9, 3), (27, 3), (470, 25))

_LinksByHost = Mapping[str, Sequence[Presence]]


async def measure_reach() -> list[Figure]:
    """Return reachability computed with the daemon's own link selection."""
    figures: list[Figure] = []
    for daemons, zones in _SIZES:
        figures.extend(_reach_figures(daemons, zones))
    return figures


def _reach_figures(daemons: int, zones: int) -> Iterator[Figure]:
    group = f'reach, {daemons} daemons in {zones} zones'
    presences = [_presence(number, zones) for number in range(daemons)]
    links_by_host = {
        presence.host: _links(presence, presences) for presence in presences
    }
    counts = [len(links) for links in links_by_host.values()]
    yield Figure(group, 'links dialled, mean', statistics.mean(counts), '1')
    majorities = _share_with_majority(links_by_host)
    yield Figure(group, 'daemons linked to most electors', majorities, '%')
    reported = _reported_share(links_by_host, presences)
    yield Figure(group, 'daemons whose usage a reporter reaches', reported, '%')


def _presence(number: int, zones: int) -> Presence:
    zone = zone_name(number % zones)
    return Presence(f'host-{number}', zone, '', '', '', '', '')


def _links(
    presence: Presence,
    presences: Sequence[Presence],
) -> Sequence[Presence]:
    peers = [peer for peer in presences if peer.host != presence.host]
    return select_peers(
        presence.host,
        presence.zone,
        peers,
        PeerSettings(),
    )


def _reached(host: str, links_by_host: _LinksByHost) -> set[str]:
    """Return the hosts that a host queries, including itself."""
    return {host, *(peer.host for peer in links_by_host[host])}


def _share_with_majority(links_by_host: _LinksByHost) -> float:
    electors = set(select_voters(links_by_host))
    have_it = [
        len(electors & _reached(host, links_by_host)) >= _ELECTOR_MAJORITY
        for host in links_by_host
    ]
    return statistics.mean(have_it) * _PERCENT


def _reported_share(
    links_by_host: _LinksByHost,
    presences: Sequence[Presence],
) -> float:
    """Return the mean share with each daemon as the reporter."""
    holders_by_host = {
        presence.host: _holders(presence, links_by_host)
        for presence in presences
    }
    shares = []
    for reporter in links_by_host:
        reached = _reached(reporter, links_by_host)
        shares.append(
            statistics.mean(
                not reached.isdisjoint(holders)
                for holders in holders_by_host.values()
            ),
        )
    return statistics.mean(shares) * _PERCENT


def _holders(presence: Presence, links_by_host: _LinksByHost) -> set[str]:
    """Return the hosts that hold a host's usage."""
    elsewhere = [
        peer.host
        for peer in links_by_host[presence.host]
        if peer.zone != presence.zone
    ]
    return {presence.host, *elsewhere[:REPLICA_COUNT]}
