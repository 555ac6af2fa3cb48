"""Routing, admission, retry, role and spend decisions as plain objects."""

from .admission import Fleet, Refusal, ServiceQueue
from .admission_settings import (
    AdmissionPolicy,
    AdmissionSettings,
    FairShares,
    QueueBounds,
)
from .attempts import (
    Answered5xx,
    AttemptFailure,
    FailedAttempt,
    Lost,
    NotSent,
    Refused,
)
from .consumption import ConsumptionReport, ConsumptionSettings, TeamConsumption
from .cost_routing import EngineChoice, LeastCost
from .dispatches import InFlight
from .engine_views import EngineSpeed, EngineView, EngineViewSettings
from .health import (
    Answered,
    Availability,
    HealthSettings,
    HealthTracker,
    Observation,
    Silent,
    Unreachable,
)
from .limits import AdaptiveLimit, Limit
from .prefixes import (
    CacheCleared,
    CachedPrefixes,
    CacheEvent,
    PrefixEvicted,
    PrefixStored,
    prefix_hashes,
)
from .profiles import RequestProfile
from .queues import QueueEntry
from .retries import (
    GiveUp,
    RetryAt,
    RetryBudget,
    RetryDecision,
    RetryPolicy,
    RetrySettings,
)
from .routing import Router, RouterSettings, RoutingPolicy
from .spreads import NearEqual, Spread
from .suspects import (
    CrashNotice,
    SuspectRegister,
    SuspectSettings,
    Verdict,
    _CrashesByKey,
    _Key,
    isolation_target,
    request_fingerprint,
)

__all__ = [
    'AdaptiveLimit',
    'AdmissionPolicy',
    'AdmissionSettings',
    'Answered',
    'Answered5xx',
    'AttemptFailure',
    'Availability',
    'CacheCleared',
    'CacheEvent',
    'CachedPrefixes',
    'ConsumptionReport',
    'ConsumptionSettings',
    'CrashNotice',
    'EngineChoice',
    'EngineSpeed',
    'EngineView',
    'EngineViewSettings',
    'FailedAttempt',
    'FairShares',
    'Fleet',
    'GiveUp',
    'HealthSettings',
    'HealthTracker',
    'InFlight',
    'LeastCost',
    'Limit',
    'Lost',
    'NearEqual',
    'NotSent',
    'Observation',
    'PrefixEvicted',
    'PrefixStored',
    'QueueBounds',
    'QueueEntry',
    'Refusal',
    'Refused',
    'RequestProfile',
    'RetryAt',
    'RetryBudget',
    'RetryDecision',
    'RetryPolicy',
    'RetrySettings',
    'Router',
    'RouterSettings',
    'RoutingPolicy',
    'ServiceQueue',
    'Silent',
    'Spread',
    'SuspectRegister',
    'SuspectSettings',
    'TeamConsumption',
    'Unreachable',
    'Verdict',
    '_CrashesByKey',
    '_Key',
    'isolation_target',
    'prefix_hashes',
    'request_fingerprint',
]
