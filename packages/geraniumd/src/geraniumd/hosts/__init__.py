"""Peer protocol: connections, messages, host membership and voters."""

from .channel import Channel
from .claim_peers import ClaimRouter
from .directory import HostDirectory, Presence, holder_name
from .handshake import Identity, accept, dial
from .links import PeerLink
from .messages import (
    Acknowledgement,
    Announcement,
    ClaimRequest,
    ClaimResponse,
    ConfigurationRequest,
    ConfigurationUpdate,
    EngineDispatch,
    Envelope,
    Message,
    Ping,
    Response,
    ServiceConsumption,
    ServiceDemand,
    Status,
    UsageReplica,
    UsageRequest,
)
from .peer_selection import select_peers
from .presence import PresenceRegistry
from .usage_peers import (
    REPLICA_COUNT,
    PeerCollector,
    PeerReplicator,
    PlatformSubmitter,
)
from .voters import VOTER_COUNT, WithdrawalAnnouncer, select_voters
from .wire import decode, encode

__all__ = [
    'REPLICA_COUNT',
    'VOTER_COUNT',
    'Acknowledgement',
    'Announcement',
    'Channel',
    'ClaimRequest',
    'ClaimResponse',
    'ClaimRouter',
    'ConfigurationRequest',
    'ConfigurationUpdate',
    'EngineDispatch',
    'Envelope',
    'HostDirectory',
    'Identity',
    'Message',
    'PeerCollector',
    'PeerLink',
    'PeerReplicator',
    'Ping',
    'PlatformSubmitter',
    'Presence',
    'PresenceRegistry',
    'Response',
    'ServiceConsumption',
    'ServiceDemand',
    'Status',
    'UsageReplica',
    'UsageRequest',
    'WithdrawalAnnouncer',
    'accept',
    'decode',
    'dial',
    'encode',
    'holder_name',
    'select_peers',
    'select_voters',
]
