"""Selection of peers for deployments of different sizes."""

import pytest
from geraniumd.hosts import Presence, select_peers, select_voters
from geraniumd.process import PeerSettings

ZONES = 25


def zone_of(number):
    index = number % ZONES
    return f'zone-{index}'


def presences(count):
    return [
        Presence(
            host=f'host-{number}',
            zone=zone_of(number),
            region='region',
            incarnation='1',
            caller_address='127.0.0.1:1',
            peer_address='127.0.0.1:2',
            operator_address='127.0.0.1:3',
        )
        for number in range(count)
    ]


@pytest.mark.parametrize('count', [1, 3, 9, 50, 470])
def test_every_daemon_is_linked_to_all_voters(count):
    members = presences(count)
    voters = set(select_voters(member.host for member in members))
    for member in members:
        peers = [peer for peer in members if peer != member]
        chosen = select_peers(member.host, member.zone, peers, PeerSettings())
        linked = {peer.host for peer in chosen} | {member.host}
        assert voters <= linked
        assert len(chosen) == len(linked) - 1


def test_links_are_bounded():
    members = presences(470)
    settings = PeerSettings(links_in_zone=3, links_per_other_zone=1)
    chosen = select_peers(
        members[0].host, members[0].zone, members[1:], settings
    )
    assert len(chosen) <= 3 + (ZONES - 1) + 7
