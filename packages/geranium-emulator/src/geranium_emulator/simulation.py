"""A discrete-event scheduler with a simulated clock."""

import heapq
import itertools
from collections.abc import Callable
from typing import TypeAlias

_Event: TypeAlias = tuple[float, int, Callable[[], None]]


class Simulation:
    """Runs callbacks in order of time; ties in order of scheduling."""

    def __init__(self) -> None:
        self._now = float(0)
        self._numbers = itertools.count()
        self._queue: list[_Event] = []

    def now(self) -> float:
        """Return the current simulated time in seconds."""
        return self._now

    def at(self, instant: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at an instant; a past one is due at once."""
        due = max(instant, self._now)
        heapq.heappush(self._queue, (due, next(self._numbers), callback))

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.at(self._now + delay_s, callback)

    def run(self, until: float) -> None:
        """Run all callbacks due up to an instant and advance the clock."""
        while self._queue and self._queue[0][0] <= until:
            event = heapq.heappop(self._queue)
            self._now = event[0]
            event[2]()
        self._now = until
