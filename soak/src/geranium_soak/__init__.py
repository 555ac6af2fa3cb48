"""Runs real hosts under random faults and checks what they promise.

For development; nothing of it is deployed.
"""

from .bounds import Bounds
from .checks import Violation, find_violations
from .observations import Ledger
from .plans import Step, draw_plan
from .runs import Report, RunSettings, run_soak
from .world import World, WorldSettings

__all__ = [
    'Bounds',
    'Ledger',
    'Report',
    'RunSettings',
    'Step',
    'Violation',
    'World',
    'WorldSettings',
    'draw_plan',
    'find_violations',
    'run_soak',
]
