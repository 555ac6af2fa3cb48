"""Sessions, leases, fencing, journals and replication over an object store."""

from .clock import Clock, SystemClock
from .exceptions import (
    AnswerLostError,
    ConflictError,
    CoordinationError,
    StoreError,
    UnavailableError,
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
