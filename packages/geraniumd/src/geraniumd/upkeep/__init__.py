"""Background tasks that update the local state of a daemon."""

from .lists import ListPoller
from .peer_server import PeerServer
from .peering import PeerLinkManager
from .probes import LoadProber

__all__ = [
    'ListPoller',
    'LoadProber',
    'PeerLinkManager',
    'PeerServer',
]
