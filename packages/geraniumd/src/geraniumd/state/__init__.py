"""What a host knows: configuration, targets, demand, usage, intents."""

from .context import Context, build_context
from .fleet import EngineLink, Fleet, Link, TargetLink
from .follower import ConfigurationFollower
from .intents import EngineIntent, EngineIntents, StoredIntent
from .records import RECENT_LIMIT, RequestLog, RequestRecord
from .usage import UsageMeter

__all__ = [
    'RECENT_LIMIT',
    'ConfigurationFollower',
    'Context',
    'EngineIntent',
    'EngineIntents',
    'EngineLink',
    'Fleet',
    'Link',
    'RequestLog',
    'RequestRecord',
    'StoredIntent',
    'TargetLink',
    'UsageMeter',
    'build_context',
]
