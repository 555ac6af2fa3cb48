"""Control duties, each held by one host at a time under a lease."""

from .engine_orders import ENGINE_JOURNALS
from .manager import DutyManager
from .reporter import UsagePruner

__all__ = [
    'ENGINE_JOURNALS',
    'DutyManager',
    'UsagePruner',
]
