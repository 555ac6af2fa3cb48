# flake8: noqa: WPS203 - the one public surface of the package
"""Sessions, leases, fencing, journals and replication over an object store."""

from .acknowledgements import Acknowledgements, RolloutProgress
from .announcements import announce_to_electors
from .calls import (
    CallOutcome,
    ClaimTicket,
    call_fingerprint,
    make_call_outcome,
)
from .claim_buckets import ClaimOperation, CorruptClaimsError
from .claim_messages import decode_claim_message, encode_claim_message
from .claim_outcomes import (
    AlreadyCompleted,
    Claimed,
    ClaimOutcome,
    ClaimUnavailable,
    InProgress,
    Mismatch,
    Unknown,
)
from .claim_peers import ClaimPeers
from .claim_settings import ClaimSettings
from .claims import ClaimJournal
from .clock import Clock, SystemClock
from .configuration_changes import (
    ChangeAccepted,
    ChangeConflict,
    ChangeOutcome,
    ChangeRejected,
    PendingWithdrawal,
)
from .configuration_exceptions import (
    AnnouncementError,
    ChangeOutcomeUnknownError,
    ConfigurationError,
    ConfigurationUnavailableError,
    CorruptConfigurationError,
    StaleDeltaError,
)
from .configuration_replica import ConfigurationReplica
from .configuration_repository import ConfigurationRepository
from .configuration_settings import ConfigurationSettings, FreshnessSettings
from .exceptions import (
    AnswerLostError,
    ConflictError,
    CoordinationError,
    StoreError,
    UnavailableError,
)
from .freshness import (
    Admission,
    Fresh,
    FreshnessReport,
    HeldWithdrawal,
    Stale,
)
from .ledger import UsageLedger
from .loaded_configuration import (
    ConfigurationDelta,
    LoadedConfiguration,
    decode_delta,
    encode_delta,
)
from .rendezvous import claim_bucket_owner
from .store import (
    ABSENT_VERSION,
    Condition,
    IfAbsent,
    IfVersion,
    ObjectStore,
    StoredObject,
    Unconditional,
)
from .usage_accounts import UsageAccounts
from .usage_batches import ReplicationError, UsageBatch, UsageReplicator
from .usage_reporter import (
    AuthorityLostError,
    LedgerUnavailableError,
    UsageCollector,
    UsageReport,
    UsageReporter,
    UsageSubmitter,
)
from .usage_seals import CorruptLedgerError, SealedWindow
from .usage_settings import UsageSettings
from .watchers import watchers

__all__ = [
    'ABSENT_VERSION',
    'AnswerLostError',
    'Clock',
    'Condition',
    'ConflictError',
    'CoordinationError',
    'IfAbsent',
    'IfVersion',
    'ObjectStore',
    'StoreError',
    'StoredObject',
    'SystemClock',
    'UnavailableError',
    'Unconditional',
]

# Configuration, claims and usage.
__all__ += [
    'Acknowledgements',
    'Admission',
    'AlreadyCompleted',
    'AnnouncementError',
    'AuthorityLostError',
    'CallOutcome',
    'ChangeAccepted',
    'ChangeConflict',
    'ChangeOutcome',
    'ChangeOutcomeUnknownError',
    'ChangeRejected',
    'ClaimJournal',
    'ClaimOperation',
    'ClaimOutcome',
    'ClaimPeers',
    'ClaimSettings',
    'ClaimTicket',
    'ClaimUnavailable',
    'Claimed',
    'ConfigurationDelta',
    'ConfigurationError',
    'ConfigurationReplica',
    'ConfigurationRepository',
    'ConfigurationSettings',
    'ConfigurationUnavailableError',
    'CorruptClaimsError',
    'CorruptConfigurationError',
    'CorruptLedgerError',
    'Fresh',
    'FreshnessReport',
    'FreshnessSettings',
    'HeldWithdrawal',
    'InProgress',
    'LedgerUnavailableError',
    'LoadedConfiguration',
    'Mismatch',
    'PendingWithdrawal',
    'ReplicationError',
    'RolloutProgress',
    'SealedWindow',
    'Stale',
    'StaleDeltaError',
    'Unknown',
    'UsageAccounts',
    'UsageBatch',
    'UsageCollector',
    'UsageLedger',
    'UsageReplicator',
    'UsageReport',
    'UsageReporter',
    'UsageSettings',
    'UsageSubmitter',
    'announce_to_electors',
    'call_fingerprint',
    'claim_bucket_owner',
    'decode_claim_message',
    'decode_delta',
    'encode_claim_message',
    'encode_delta',
    'make_call_outcome',
    'watchers',
]
