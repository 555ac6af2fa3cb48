"""Which hosts reach a service is known on all hosts while it is told."""

import geranium_relay as relay
import pytest

from .fleet import Fleet, Node

TOLD_WITHIN_S = 2.0  # hosts are cut for a second before the others must serve


def reaching(node: Node, service: str) -> set[str]:
    return {peer.host for peer in relay.hosts_reaching(service, node.peers)}


@pytest.mark.parametrize('hosts', [9, 66])
def test_zone_that_is_cut_is_left_out_and_comes_back(hosts: int) -> None:
    """Beyond 16 hosts, aggregators pass on what the hosts of a zone say."""
    fleet = Fleet(hosts)
    fleet.run(6)
    cut = {node.name for node in fleet.zone('a')}
    everyone = {node.name for node in fleet.nodes}
    for node in fleet.zone('a'):
        node.cut_services = ('llm',)
    fleet.run(TOLD_WITHIN_S)

    for node in fleet.nodes:
        assert reaching(node, 'llm') == everyone - cut - {node.name}
        assert reaching(node, 'app') == everyone - {node.name}

    for node in fleet.zone('a'):
        node.cut_services = ()
    fleet.run(TOLD_WITHIN_S)

    for node in fleet.nodes:
        assert reaching(node, 'llm') == everyone - {node.name}
