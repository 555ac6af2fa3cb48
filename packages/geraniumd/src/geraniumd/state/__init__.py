"""A host's state: configuration, targets, demand, usage and intents."""

from .context import Context, build_context
from .fleet import EngineEntry, Fleet, FleetEntry, TargetEntry
from .follower import ConfigurationFollower
from .intents import EngineIntent, EngineIntents, StoredIntent
from .records import RECENT_LIMIT, RequestLog, RequestRecord
from .usage import UsageMeter

__all__ = [
    'RECENT_LIMIT',
    'ConfigurationFollower',
    'Context',
    'EngineEntry',
    'EngineIntent',
    'EngineIntents',
    'Fleet',
    'FleetEntry',
    'RequestLog',
    'RequestRecord',
    'StoredIntent',
    'TargetEntry',
    'UsageMeter',
    'build_context',
]
