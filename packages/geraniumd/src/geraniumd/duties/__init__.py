"""Duties that one host holds at a time, and the orders they send."""

from .engine_orders import ENGINE_JOURNALS
from .reporter import UsageForgetter
from .roster import DutyManager

__all__ = [
    'ENGINE_JOURNALS',
    'DutyManager',
    'UsageForgetter',
]
