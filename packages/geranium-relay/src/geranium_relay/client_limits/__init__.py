"""Bounds the bytes and connections that a host holds for its clients."""

from .budget import Account, BudgetSettings, MemoryBudget, budget_settings
from .gate import BudgetGate, RefusedBytesError
from .paced_acceptor import PacedAcceptor

__all__ = [
    'Account',
    'BudgetGate',
    'BudgetSettings',
    'MemoryBudget',
    'PacedAcceptor',
    'RefusedBytesError',
    'budget_settings',
]
