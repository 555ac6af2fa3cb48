"""Runs a host with a skewed wall clock.

    python -P skewed_host.py --clock-offset 3 --links IP --targets IP ...

Only the wall clock is shifted, as on a machine whose clock is wrong. The
monotonic clocks are unchanged. With ``--links``, connections to the address of
the targets go through relays at that one, where the host can be cut from all
targets. The other options are those of a host.
"""

import asyncio
import runpy
import sys
import time

from geranium_standins.host_links import redirect_connections

OFFSET_OPTION = '--clock-offset'
LINKS_OPTION = '--links'
TARGETS_OPTION = '--targets'


def shift_time_of_day(by_s: float) -> None:
    """Shift ``time.time`` of this process by ``by_s`` seconds."""
    read = time.time
    time.time = lambda: read() + by_s


def take_option(arguments: list[str], name: str) -> str | None:
    """Remove an option from the arguments; return its value, if it is given."""
    if name not in arguments:
        return None
    position = arguments.index(name)
    arguments.pop(position)
    return arguments.pop(position)


class LinkedLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Makes event loops whose connections to targets go through relays.

    Args:
        relays_ip: Address of the relays.
        targets_ip: Address of the targets.
    """

    def __init__(self, relays_ip: str, targets_ip: str) -> None:
        super().__init__()
        self._targets_ip = targets_ip
        self._relays_ip = relays_ip

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Return a new event loop."""
        loop = super().new_event_loop()
        redirect_connections(loop, self._targets_ip, lambda: self._relays_ip)
        return loop


if __name__ == '__main__':
    shift_time_of_day(float(take_option(sys.argv, OFFSET_OPTION) or 0))
    links = take_option(sys.argv, LINKS_OPTION)
    targets = take_option(sys.argv, TARGETS_OPTION)
    if links is not None and targets is not None:
        asyncio.set_event_loop_policy(LinkedLoopPolicy(links, targets))
    runpy.run_module('geranium_platform', run_name='__main__', alter_sys=True)
