"""Requests that a host passes on, since it can't send them itself.

A host may lose its links to the targets of a service, alone or with all of
its zone, and still have callers. It notices with :class:`ServiceReach`, passes
their requests on with :class:`PeerClient`, and the hosts that reach the
service take them with :class:`PeerServer`. A request is passed on once, and
the host that takes it sends it.
"""

from geranium_policy.service_reach import ReachSettings

from .messages import ForwardedRequest, RunProgress
from .peer_bounds import PeerBounds
from .peer_client import (
    PeerClient,
    PeerClientSettings,
    PeerFailedError,
    PeerRefusedError,
    PeerResponse,
)
from .peer_server import PeerHandlers, PeerServer, PeerServerSettings
from .reaching_hosts import hosts_reaching
from .service_reach import ServiceReach

__all__ = [
    'ForwardedRequest',
    'PeerBounds',
    'PeerClient',
    'PeerClientSettings',
    'PeerFailedError',
    'PeerHandlers',
    'PeerRefusedError',
    'PeerResponse',
    'PeerServer',
    'PeerServerSettings',
    'ReachSettings',
    'RunProgress',
    'ServiceReach',
    'hosts_reaching',
]
