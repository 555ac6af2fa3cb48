"""Discrete-event simulation of hosts and engines, to compare policies.

Hosts select engines with the relay's own classes, from state whose age the
plan sets. Engines process prompts, cache prompt parts and generate tokens.
They slow down, stop responding, crash and are reclaimed.
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
