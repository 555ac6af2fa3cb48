"""How late the event loop runs what is due."""

from collections.abc import Callable

from ..decision_log import DecisionLog

WINDOW_S = 10
LOGGED_S = 0.25  # delays that callers notice


class LoopDelay:
    """Keeps the longest delay of the event loop in a window of time.

    Args:
        clock: Returns the current time in seconds.
        log: Receives a record of each long delay.
    """

    def __init__(self, clock: Callable[[], float], log: DecisionLog) -> None:
        self._clock = clock
        self._log = log
        self._longest_s: float = 0
        self._longest_until = clock()

    def observe(self, due_at: float) -> None:
        """Record that what was due at an instant runs now."""
        now = self._clock()
        delay_s = max(now - due_at, 0)
        if delay_s >= self.longest_s():
            self._longest_s = delay_s
            self._longest_until = now + WINDOW_S
        if delay_s > LOGGED_S:
            self._log.record('loop_delayed', delay_s=round(delay_s, 3))

    def longest_s(self) -> float:
        """Return the longest delay of the window in seconds."""
        return self._longest_s if self._clock() < self._longest_until else 0
