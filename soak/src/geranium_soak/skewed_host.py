"""Runs a host with a skewed wall clock.

    python -P skewed_host.py --clock-offset 3 --settings FILE

Only the wall clock is shifted, as on a machine whose clock is wrong. The
monotonic clocks are unchanged.
"""

import runpy
import sys
import time

OPTION = '--clock-offset'


def shift_time_of_day(by_s: float) -> None:
    """Shift ``time.time`` of this process by ``by_s`` seconds."""
    read = time.time
    time.time = lambda: read() + by_s


def take_offset(arguments: list[str]) -> float:
    """Remove the option from the arguments; return its value in seconds."""
    if OPTION not in arguments:
        return 0
    position = arguments.index(OPTION)
    arguments.pop(position)
    return float(arguments.pop(position))


if __name__ == '__main__':
    shift_time_of_day(take_offset(sys.argv))
    runpy.run_module('geranium_platform', run_name='__main__', alter_sys=True)
