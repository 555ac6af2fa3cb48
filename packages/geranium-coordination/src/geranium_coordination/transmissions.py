"""The copies of orders that this process has started to send."""

import math
from collections.abc import Callable
from typing import Generic, TypeVar

from .clock import Clock

_Transport = TypeVar('_Transport')


class Transmission(Generic[_Transport]):
    """One copy of an order on its way.

    ``transport`` is what the caller's start returned for it. The copy counts as in
    flight until :meth:`resolve` or until the in-flight bound has passed.
    """

    def __init__(self, clock: Clock) -> None:
        self.transport: _Transport
        self._clock = clock
        self._in_flight_until = math.inf

    def begin(
        self,
        start: Callable[[], _Transport],
        deadline: float,
        in_flight_bound_s: float,
    ) -> None:
        """Start sending, without awaiting.

        The bound counts from after the start: a process that was paused
        within it has sent only then.
        """
        try:
            self.transport = start()
        finally:
            latest = max(deadline, self._clock.now())
            self._in_flight_until = latest + in_flight_bound_s

    def resolve(self) -> None:
        """Note that this copy has arrived, or that it never can.

        A definite answer on the connection that carried it says so; a
        time-out or a reset does not.
        """
        self._in_flight_until = -math.inf

    @property
    def in_flight_until(self) -> float:
        """The instant from which the copy can't arrive any more."""
        return self._in_flight_until
