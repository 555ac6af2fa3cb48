"""Peer protocol: connections, messages, host membership and voters."""

from .channel import Channel
from .claim_peers import ClaimOwners
from .directory import HostDirectory, Presence, holder_name
from .electors import ELECTOR_COUNT, WithdrawalAnnouncer, choose_electors
from .handshake import Identity, accept, dial
from .links import PeerLink
from .messages import (
    Acknowledgement,
    Announcement,
    Answer,
    ClaimAnswer,
    ClaimQuestion,
    ConfigurationUpdate,
    ConfigurationWanted,
    EngineDispatch,
    Envelope,
    Message,
    Ping,
    ServiceConsumption,
    ServiceDemand,
    Status,
    UsageReplica,
    UsageWanted,
)
from .neighbours import choose_neighbours
from .presence import PresenceRegistry
from .usage_peers import (
    REPLICA_COUNT,
    PeerCollector,
    PeerReplicator,
    PlatformSubmitter,
)
from .wire import decode, encode

__all__ = [
    'ELECTOR_COUNT',
    'REPLICA_COUNT',
    'Acknowledgement',
    'Announcement',
    'Answer',
    'Channel',
    'ClaimAnswer',
    'ClaimOwners',
    'ClaimQuestion',
    'ConfigurationUpdate',
    'ConfigurationWanted',
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
    'ServiceConsumption',
    'ServiceDemand',
    'Status',
    'UsageReplica',
    'UsageWanted',
    'WithdrawalAnnouncer',
    'accept',
    'choose_electors',
    'choose_neighbours',
    'decode',
    'dial',
    'encode',
    'holder_name',
]
