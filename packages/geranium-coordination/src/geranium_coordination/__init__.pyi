from .acknowledgements import (
    Acknowledgements,
    RolloutProgress,
)
from .announcements import (
    announce_to_voters,
)
from .authority import (
    Authority,
    AuthorityState,
    Held,
    Lost,
)
from .calls import (
    CallOutcome,
    ClaimTicket,
    call_fingerprint,
    make_call_outcome,
)
from .claim_buckets import (
    ClaimOperation,
    CorruptClaimsError,
)
from .claim_messages import (
    decode_claim_message,
    encode_claim_message,
)
from .claim_outcomes import (
    AlreadyCompleted,
    Claimed,
    ClaimOutcome,
    ClaimUnavailable,
    InProgress,
    Mismatch,
    Unknown,
)
from .claim_peers import (
    ClaimPeers,
)
from .claim_settings import (
    ClaimSettings,
)
from .claims import (
    ClaimJournal,
)
from .clock import (
    Clock,
    SystemClock,
)
from .configuration_changes import (
    ChangeAccepted,
    ChangeConflict,
    ChangeOutcome,
    ChangeRejected,
    Mutation,
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
from .configuration_replica import (
    ConfigurationReplica,
)
from .configuration_repository import (
    ConfigurationRepository,
)
from .configuration_settings import (
    ConfigurationSettings,
    FreshnessSettings,
)
from .counted_batches import (
    CountedBatches,
)
from .duties import (
    Duty,
    DutyContext,
    DutySettings,
)
from .duty_ranking import (
    rank_hosts,
    rank_of,
)
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
from .journal import (
    OrderJournal,
)
from .journal_context import (
    JournalContext,
    JournalSettings,
)
from .journals import (
    OrderJournals,
    release_predecessors,
)
from .leases import (
    Lease,
    LeaseRecord,
    Leases,
    LeaseSettings,
)
from .ledger import (
    UsageLedger,
)
from .loaded_configuration import (
    ConfigurationDelta,
    LoadedConfiguration,
    decode_delta,
    encode_delta,
)
from .membership import (
    Membership,
    MembershipView,
    SessionView,
)
from .memory import (
    MemoryStore,
    MemoryStoreCopy,
)
from .orders import (
    JournalRecord,
    LateCopyHandling,
    Order,
    OrderReceiver,
    OrderState,
    Sender,
)
from .outcomes import (
    Blocked,
    Ended,
    NotStarted,
    Planned,
    PlanOutcome,
    Started,
    Unfinished,
)
from .rendezvous import (
    claim_bucket_owner,
)
from .runner import (
    DutyHolder,
    DutyRunner,
    DutyState,
)
from .senders import (
    HostList,
)
from .sessions import (
    Session,
    SessionSettings,
)
from .shared_session import (
    SharedSession,
)
from .store import (
    ABSENT_VERSION,
    Condition,
    IfAbsent,
    IfVersion,
    ObjectStore,
    StoredObject,
    Unconditional,
    era_of,
    make_version,
    revision_of,
)
from .timeouts import (
    TimedStore,
)
from .transmissions import (
    Transmission,
)
from .usage_batches import (
    ReplicationError,
    UsageBatch,
    UsageReplicator,
)
from .usage_reporter import (
    AuthorityLostError,
    LedgerUnavailableError,
    UsageCollector,
    UsageReport,
    UsageReporter,
    UsageSubmitter,
)
from .usage_seals import (
    CorruptLedgerError,
    SealedWindow,
)
from .usage_settings import (
    UsageSettings,
)
from .watchers import (
    select_watchers,
)

__all__ = [
    'ABSENT_VERSION',
    'Acknowledgements',
    'Admission',
    'AlreadyCompleted',
    'AnnouncementError',
    'AnswerLostError',
    'Authority',
    'AuthorityLostError',
    'AuthorityState',
    'Blocked',
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
    'Clock',
    'Condition',
    'ConfigurationDelta',
    'ConfigurationError',
    'ConfigurationReplica',
    'ConfigurationRepository',
    'ConfigurationSettings',
    'ConfigurationUnavailableError',
    'ConflictError',
    'CoordinationError',
    'CorruptClaimsError',
    'CorruptConfigurationError',
    'CorruptLedgerError',
    'CountedBatches',
    'Duty',
    'DutyContext',
    'DutyHolder',
    'DutyRunner',
    'DutySettings',
    'DutyState',
    'Ended',
    'Fresh',
    'FreshnessReport',
    'FreshnessSettings',
    'Held',
    'HeldWithdrawal',
    'HostList',
    'IfAbsent',
    'IfVersion',
    'InProgress',
    'JournalContext',
    'JournalRecord',
    'JournalSettings',
    'LateCopyHandling',
    'Lease',
    'LeaseRecord',
    'LeaseSettings',
    'Leases',
    'LedgerUnavailableError',
    'LoadedConfiguration',
    'Lost',
    'Membership',
    'MembershipView',
    'MemoryStore',
    'MemoryStoreCopy',
    'Mismatch',
    'Mutation',
    'NotStarted',
    'ObjectStore',
    'Order',
    'OrderJournal',
    'OrderJournals',
    'OrderReceiver',
    'OrderState',
    'PendingWithdrawal',
    'PlanOutcome',
    'Planned',
    'ReplicationError',
    'RolloutProgress',
    'SealedWindow',
    'Sender',
    'Session',
    'SessionSettings',
    'SessionView',
    'SharedSession',
    'Stale',
    'StaleDeltaError',
    'Started',
    'StoreError',
    'StoredObject',
    'SystemClock',
    'TimedStore',
    'Transmission',
    'UnavailableError',
    'Unconditional',
    'Unfinished',
    'Unknown',
    'UsageBatch',
    'UsageCollector',
    'UsageLedger',
    'UsageReplicator',
    'UsageReport',
    'UsageReporter',
    'UsageSettings',
    'UsageSubmitter',
    'announce_to_voters',
    'call_fingerprint',
    'claim_bucket_owner',
    'decode_claim_message',
    'decode_delta',
    'encode_claim_message',
    'encode_delta',
    'era_of',
    'make_call_outcome',
    'make_version',
    'rank_hosts',
    'rank_of',
    'release_predecessors',
    'revision_of',
    'select_watchers',
]
