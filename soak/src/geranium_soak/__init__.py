"""Runs real host processes under random faults and checks their guarantees.

This is a development tool and is never deployed.
"""

from .bounds import Bounds
from .checks import Violation, find_violations
from .environment import Environment, EnvironmentSettings
from .observations import Ledger
from .plans import Step, draw_plan
from .runs import Report, RunSettings, run_soak

__all__ = [
    'Bounds',
    'Environment',
    'EnvironmentSettings',
    'Ledger',
    'Report',
    'RunSettings',
    'Step',
    'Violation',
    'draw_plan',
    'find_violations',
    'run_soak',
]
