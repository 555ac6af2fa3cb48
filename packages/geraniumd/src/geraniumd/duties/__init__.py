"""Control duties, each held by one host at a time under a lease."""

from .engine_orders import ENGINE_JOURNALS
from .reporter import UsageForgetter
from .roster import DutyManager

__all__ = [
    'ENGINE_JOURNALS',
    'DutyManager',
    'UsageForgetter',
]
