"""Routing, admission, retry, role and spend decisions as plain objects."""

from .attempts import (
    Answered5xx,
    AttemptFailure,
    FailedAttempt,
    Lost,
    NotSent,
    Refused,
)
from .candidates import CandidateSettings
from .cost_routing import EngineChoice, LeastCost
from .costs import CostEstimate, CostSettings
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
from .prefixes import (
    CacheCleared,
    CachedPrefixes,
    CacheEvent,
    PrefixCacheSettings,
    PrefixEvicted,
    PrefixStored,
    prefix_hashes,
)
from .profiles import RequestProfile
from .retries import (
    GiveUp,
    RetryAt,
    RetryBudget,
    RetryDecision,
    RetryPolicy,
    RetrySettings,
)
from .routing import (
    LeastLoaded,
    RandomOfTwo,
    RoundRobin,
    Router,
    RouterSettings,
    RoutingPolicy,
)
from .spreads import BestOfSample, Cheapest, NearEqual, OwnedFirst, Spread
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
    'Answered',
    'Answered5xx',
    'AttemptFailure',
    'Availability',
    'BestOfSample',
    'CacheCleared',
    'CacheEvent',
    'CachedPrefixes',
    'CandidateSettings',
    'Cheapest',
    'CostEstimate',
    'CostSettings',
    'CrashNotice',
    'EngineChoice',
    'EngineSpeed',
    'EngineView',
    'EngineViewSettings',
    'FailedAttempt',
    'GiveUp',
    'HealthSettings',
    'HealthTracker',
    'InFlight',
    'LeastCost',
    'LeastLoaded',
    'Lost',
    'NearEqual',
    'NotSent',
    'Observation',
    'OwnedFirst',
    'PrefixCacheSettings',
    'PrefixEvicted',
    'PrefixStored',
    'RandomOfTwo',
    'Refused',
    'RequestProfile',
    'RetryAt',
    'RetryBudget',
    'RetryDecision',
    'RetryPolicy',
    'RetrySettings',
    'RoundRobin',
    'Router',
    'RouterSettings',
    'RoutingPolicy',
    'Silent',
    'Spread',
    'SuspectRegister',
    'SuspectSettings',
    'Unreachable',
    'Verdict',
    '_CrashesByKey',
    '_Key',
    'isolation_target',
    'prefix_hashes',
    'request_fingerprint',
]
