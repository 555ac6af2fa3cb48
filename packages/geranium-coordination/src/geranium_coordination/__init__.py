"""Sessions, leases, fencing, journals and replication over an object store."""

from .authority import (
    Authority,
    AuthorityState,
    Held,
    Lost,
)
from .clock import Clock, SystemClock
from .duties import (
    Duty,
    DutyContext,
    DutySettings,
)
from .exceptions import (
    AnswerLostError,
    ConflictError,
    CoordinationError,
    StoreError,
    UnavailableError,
)
from .journal import OrderJournal
from .journal_context import JournalContext, JournalSettings
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
from .membership import (
    Membership,
    MembershipView,
    SessionView,
)
from .memory import (
    MemoryStore,
)
from .orders import (
    JournalRecord,
    LateCopies,
    Order,
    OrderState,
    Sender,
    Subject,
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
from .preference import (
    rank_hosts,
    rank_of,
)
from .presence import (
    Presence,
)
from .runner import (
    DutiesDump,
    DutyRunner,
    Holding,
)
from .senders import (
    HostList,
)
from .sessions import (
    Session,
    SessionSettings,
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
from .timeouts import (
    TimedStore,
)
from .transmissions import (
    Transmission,
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

__all__ += [
    'Authority',
    'AuthorityState',
    'Blocked',
    'DutiesDump',
    'Duty',
    'DutyContext',
    'DutyRunner',
    'DutySettings',
    'Ended',
    'Held',
    'Holding',
    'HostList',
    'JournalContext',
    'JournalRecord',
    'JournalSettings',
    'LateCopies',
    'Lease',
    'LeaseRecord',
    'LeaseSettings',
    'Leases',
    'Lost',
    'Membership',
    'MembershipView',
    'MemoryStore',
    'NotStarted',
    'Order',
    'OrderJournal',
    'OrderJournals',
    'OrderState',
    'PlanOutcome',
    'Planned',
    'Presence',
    'Sender',
    'Session',
    'SessionSettings',
    'SessionView',
    'Started',
    'Subject',
    'TimedStore',
    'Transmission',
    'Unfinished',
    'rank_hosts',
    'rank_of',
    'release_predecessors',
]
