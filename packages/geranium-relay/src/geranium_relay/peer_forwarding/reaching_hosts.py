"""The hosts that reach a service, by what their updates say."""

from collections.abc import Iterator

from ..messages import PeerIdentity
from ..peer_updates import name_hash
from ..peers import Peers


def hosts_reaching(service: str, peers: Peers) -> Iterator[PeerIdentity]:
    """Yield the usable hosts that reach a service.

    Each update of a host lists the services that it does not reach, so a
    host is left out only as long as its updates say so.
    """
    service_hash = name_hash(service)
    unreaching = {
        reported.host
        for reported in peers.host_reports()
        if service_hash in reported.unreached
    }
    for peer in peers.usable():
        if name_hash(peer.host) not in unreaching:
            yield peer
