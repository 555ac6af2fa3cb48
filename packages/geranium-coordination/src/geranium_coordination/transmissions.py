"""The copies of orders that this process has started to send."""

import math
from collections.abc import Callable
from typing import Generic, TypeVar

from .clock import Clock

_SendHandle = TypeVar('_SendHandle')


class Transmission(Generic[_SendHandle]):
    """One copy of an order on its way.

    ``send_handle`` is what the caller's start returned for it. The copy counts as in
    flight until :meth:`resolve` or until the in-flight bound has passed.
    """

    def __init__(self, clock: Clock) -> None:
        self.send_handle: _SendHandle
        self._clock = clock
        self._in_flight_until = math.inf

    def begin(
        self,
        start: Callable[[], _SendHandle],
        deadline: float,
        in_flight_bound_s: float,
    ) -> None:
        """Start sending, without awaiting.

        The bound counts from after the start: a process that was paused
        within it has sent only then.
        """
        try:
            self.send_handle = start()
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
