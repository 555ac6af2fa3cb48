"""Tasks that keep a host's knowledge current."""

from .lists import ListPoller
from .peer_server import PeerServer
from .peering import Peering
from .probes import LoadProber

__all__ = [
    'ListPoller',
    'LoadProber',
    'PeerServer',
    'Peering',
]
