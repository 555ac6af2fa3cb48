"""Hosts and engines against a clock of their own, to compare policies.

Hosts decide by the objects that the relay decides by, each from knowledge
that is as old as its settings say. Engines read prompts, keep parts of them
and generate; they slow down, fall silent, crash and are reclaimed.
"""

from .experiments import Comparison, compare
from .plans import DayPlan, DocumentError, read_plan
from .policies import POLICIES
from .results import DayResult, WindowTally

__all__ = [
    'POLICIES',
    'Comparison',
    'DayPlan',
    'DayResult',
    'DocumentError',
    'WindowTally',
    'compare',
    'read_plan',
]
