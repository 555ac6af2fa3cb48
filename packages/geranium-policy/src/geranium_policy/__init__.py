"""Routing, admission, retry, role and spend decisions as plain objects."""

from .candidates import CandidateSettings
from .cost_routing import EngineChoice, LeastCost
from .costs import CostEstimate, CostSettings
from .dispatches import InFlight
from .engine_views import EngineSpeed, EngineView, EngineViewSettings
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
from .routing import (
    LeastLoaded,
    RandomOfTwo,
    RoundRobin,
    Router,
    RouterSettings,
    RoutingPolicy,
)
from .spreads import BestOfSample, Cheapest, NearEqual, OwnedFirst, Spread

__all__ = [
    'BestOfSample',
    'CacheCleared',
    'CacheEvent',
    'CachedPrefixes',
    'CandidateSettings',
    'Cheapest',
    'CostEstimate',
    'CostSettings',
    'EngineChoice',
    'EngineSpeed',
    'EngineView',
    'EngineViewSettings',
    'InFlight',
    'LeastCost',
    'LeastLoaded',
    'NearEqual',
    'OwnedFirst',
    'PrefixCacheSettings',
    'PrefixEvicted',
    'PrefixStored',
    'RandomOfTwo',
    'RequestProfile',
    'RoundRobin',
    'Router',
    'RouterSettings',
    'RoutingPolicy',
    'Spread',
    'prefix_hashes',
]
