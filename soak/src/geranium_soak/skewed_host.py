"""Runs a host whose time of day is off.

    python -P skewed_host.py --clock-offset 3 --settings FILE

Only the time of day is shifted, as a wrong clock of a machine would be; the
steady clocks are left alone.
"""

import runpy
import sys
import time

OPTION = '--clock-offset'


def shift_time_of_day(by_s: float) -> None:
    """Let this process read a time of day that is off by so much."""
    read = time.time
    time.time = lambda: read() + by_s


def take_offset(arguments: list[str]) -> float:
    """Remove the option from the arguments and return its value."""
    if OPTION not in arguments:
        return 0
    position = arguments.index(OPTION)
    arguments.pop(position)
    return float(arguments.pop(position))


if __name__ == '__main__':
    shift_time_of_day(take_offset(sys.argv))
    runpy.run_module('geranium_platform', run_name='__main__', alter_sys=True)
