"""Transmissions of orders by this process."""

import math
from collections.abc import Callable
from typing import Generic, TypeVar

from .clock import Clock

_SendHandle = TypeVar('_SendHandle')


class Transmission(Generic[_SendHandle]):
    """One transmitted copy of an order.

    ``send_handle`` is the value that the caller's ``start`` returned. The
    copy counts as in flight until :meth:`resolve` is called or the in-flight
    bound has passed.
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

        The bound counts from the return of ``start``: a process that is
        paused inside it may send only after it resumes.
        """
        try:
            self.send_handle = start()
        finally:
            latest = max(deadline, self._clock.now())
            self._in_flight_until = latest + in_flight_bound_s

    def resolve(self) -> None:
        """Record that this copy has arrived or can never arrive.

        A definite response on the same connection proves that; a timeout or
        a reset does not.
        """
        self._in_flight_until = -math.inf

    @property
    def in_flight_until(self) -> float:
        """The instant after which the copy can no longer arrive."""
        return self._in_flight_until
