"""Client of the platform: objects, lists, target orders and reports."""

from .client import PlatformClient
from .listings import ListedTarget, parse_hosts, parse_targets

__all__ = [
    'ListedTarget',
    'PlatformClient',
    'parse_hosts',
    'parse_targets',
]
