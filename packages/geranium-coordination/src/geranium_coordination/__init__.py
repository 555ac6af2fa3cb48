"""Sessions, leases, fencing, journals and replication over an object store."""

from .acknowledgements import Acknowledgements, RolloutProgress
from .announcements import announce_to_electors
from .clock import Clock, SystemClock
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
from .loaded_configuration import (
    ConfigurationDelta,
    LoadedConfiguration,
    decode_delta,
    encode_delta,
)
from .store import (
    ABSENT_VERSION,
    Condition,
    IfAbsent,
    IfVersion,
    ObjectStore,
    StoredObject,
    Unconditional,
)
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
    'Mutation',
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
    'AnnouncementError',
    'ChangeAccepted',
    'ChangeConflict',
    'ChangeOutcome',
    'ChangeOutcomeUnknownError',
    'ChangeRejected',
    'ConfigurationDelta',
    'ConfigurationError',
    'ConfigurationReplica',
    'ConfigurationRepository',
    'ConfigurationSettings',
    'ConfigurationUnavailableError',
    'CorruptConfigurationError',
    'Fresh',
    'FreshnessReport',
    'FreshnessSettings',
    'HeldWithdrawal',
    'LoadedConfiguration',
    'PendingWithdrawal',
    'RolloutProgress',
    'Stale',
    'StaleDeltaError',
    'announce_to_electors',
    'decode_delta',
    'encode_delta',
    'watchers',
]
