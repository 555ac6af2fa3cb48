"""A UDP socket that tells since when its datagrams may have been waiting."""

import asyncio
import collections
import math
import socket
from collections.abc import Callable, Iterable
from typing import Protocol

from ..clock import BootClock
from ..decision_log import DecisionLog
from .outgoing import Address, Encode, Outgoing
from .pace import PaceSettings, SendPace

MAX_DATAGRAM_BYTES = 65535
MAX_READ = 32  # datagrams in one turn of the event loop
LONG_WAIT_S = 0.5  # of datagrams; it is logged
MIN_WAIT_S = 0.01  # several small datagrams leave in one turn


class DatagramReceiver(Protocol):
    """Gets the datagrams of an endpoint."""

    def datagram_received(
        self, data: bytes, addr: tuple[str | int, int]
    ) -> None:
        """Apply a datagram."""
        ...


class DatagramEndpoint:
    """Reads all datagrams that have arrived, and sends others.

    The kernel queues what arrives while the process does not read. A datagram
    has therefore arrived after ``waiting_since``, the last instant at which the
    queue was seen to be empty.

    Args:
        receiver: Gets the datagrams.
        clock: Includes the time for which the machine was suspended.
        log: Receives a record of each long wait, and of each datagram that is
            lost.
        pace: Which part of the link its datagrams may take.

    ``on_idle`` is called once when the last datagram that waits has left.
    """

    def __init__(
        self,
        receiver: DatagramReceiver,
        clock: BootClock,
        log: DecisionLog,
        pace: PaceSettings | None = None,
    ) -> None:
        self.on_idle: Callable[[], None] | None = None
        self._pace = SendPace(pace or PaceSettings(), clock.now)
        self._queue: collections.deque[Outgoing] = collections.deque()
        self._timer: asyncio.TimerHandle | None = None
        self._idle = asyncio.Event()
        self._idle.set()
        self.waiting_since = -math.inf
        self._logged_since = -math.inf
        self._receiver = receiver
        self._clock = clock
        self._log = log
        self._socket: socket.socket | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    def open(self, address: Address) -> None:
        """Listen on an address.

        Raises:
            OSError: If the address is in use.
        """
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        try:
            opened.bind(address)
        except OSError:
            opened.close()
            raise
        self.waiting_since = self._clock.now()
        self._socket = opened
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(opened, self.read)

    def close(self) -> None:
        """Stop listening."""
        if self._socket is None or self._loop is None:
            return
        self.clear()
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self._socket = None

    def read(self) -> None:
        """Hand over what has arrived, up to ``MAX_READ`` datagrams."""
        for _ in range(MAX_READ):
            if self._socket is None:
                return
            began_at = self._clock.now()
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                self.waiting_since = began_at
                return
            except OSError as error:
                self._log.record('datagram_not_read', error=repr(error))
                return
            self._log_wait(began_at)
            self._receiver.datagram_received(data, address)

    @property
    def is_waiting(self) -> bool:
        """Whether datagrams wait until the link has carried others."""
        return bool(self._queue)

    def send_all(self, encode: Encode, addresses: Iterable[Address]) -> None:
        """Send a datagram to each address as soon as it may leave.

        One that can't be sent is lost.

        Args:
            encode: Returns the datagram, given for how long it has waited.
            addresses: Where it is sent.
        """
        if self._socket is None:
            return
        self._queue.append(Outgoing(encode, addresses, self._clock.now()))
        self._idle.clear()
        if self._timer is None:
            self._send_waiting()

    async def wait_until_idle(self) -> None:
        """Return once no datagrams wait for the link."""
        await self._idle.wait()

    def clear(self) -> None:
        """Drop the datagrams that wait."""
        self._queue.clear()
        self._idle.set()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _send_waiting(self) -> None:
        self._timer = None
        while self._queue:
            if not self._send_next(self._queue[0]):
                self._wait()
                return
            self._queue.popleft()
        self._idle.set()
        on_idle = self.on_idle
        self.on_idle = None
        if on_idle is not None:
            on_idle()

    def _send_next(self, outgoing: Outgoing) -> bool:
        """Send what may leave now; return whether nothing is left."""
        while outgoing.addresses:
            data = outgoing.data(self._clock.now())
            if not self._pace.take(len(data)):
                return False
            self._send(data, outgoing.addresses.popleft())
        return True

    def _wait(self) -> None:
        if self._loop is not None:
            wait_s = max(self._pace.wait_s(), MIN_WAIT_S)
            self._timer = self._loop.call_later(wait_s, self._send_waiting)

    def _send(self, data: bytes, address: Address) -> None:
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            self._log.record(
                'datagram_not_sent', address=address[0], error=repr(error)
            )

    def _log_wait(self, now: float) -> None:
        """Record once that datagrams may have waited long."""
        waited_s = now - self.waiting_since
        if waited_s > LONG_WAIT_S and self._logged_since < self.waiting_since:
            self._logged_since = self.waiting_since
            self._log.record('datagrams_waited', waited_s=round(waited_s, 3))
