"""Selection of peers for deployments of different sizes."""

import pytest
from geraniumd.hosts import Presence, choose_electors, choose_neighbours
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
def test_every_daemon_is_linked_to_all_electors(count):
    members = presences(count)
    electors = set(choose_electors(member.host for member in members))
    for member in members:
        peers = [peer for peer in members if peer != member]
        chosen = choose_neighbours(
            member.host, member.zone, peers, PeerSettings()
        )
        linked = {peer.host for peer in chosen} | {member.host}
        assert electors <= linked
        assert len(chosen) == len(linked) - 1


def test_links_are_bounded():
    members = presences(470)
    settings = PeerSettings(links_in_zone=3, links_per_other_zone=1)
    chosen = choose_neighbours(
        members[0].host, members[0].zone, members[1:], settings
    )
    assert len(chosen) <= 3 + (ZONES - 1) + 7
