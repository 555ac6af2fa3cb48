"""Events in the order of a simulated clock."""

import heapq
import itertools
from collections.abc import Callable
from typing import TypeAlias

_Event: TypeAlias = tuple[float, int, Callable[[], None]]


class Simulation:
    """Runs callbacks at their instants; equal instants in order of calling."""

    def __init__(self) -> None:
        self._now = float(0)
        self._numbers = itertools.count()
        self._queue: list[_Event] = []

    def now(self) -> float:
        """Return the present instant in seconds."""
        return self._now

    def at(self, instant: float, callback: Callable[[], None]) -> None:
        """Call back at an instant, at once if it has passed."""
        due = max(instant, self._now)
        heapq.heappush(self._queue, (due, next(self._numbers), callback))

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call back after a time."""
        self.at(self._now + delay_s, callback)

    def run(self, until: float) -> None:
        """Run all that is due up to an instant."""
        while self._queue and self._queue[0][0] <= until:
            event = heapq.heappop(self._queue)
            self._now = event[0]
            event[2]()
        self._now = until
