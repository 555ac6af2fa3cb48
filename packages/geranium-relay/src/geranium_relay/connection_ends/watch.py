"""Watches connections for their ends, apart from what they carry."""

import asyncio
import select
import socket
from collections.abc import Callable

_MAX_EVENTS = 256  # handled before the event loop goes on


class EndWatch:
    """Reports the ends of connections, also of those that nobody reads.

    The kernel reports that the peer has sent its last byte or has reset the
    connection, whatever has arrived before and has not been read (epoll(7),
    ``EPOLLRDHUP``).
    """

    def __init__(self) -> None:
        self._poll: select.epoll | None = None
        self._handlers_by_descriptor: dict[int, Callable[[], object]] = {}

    def add(
        self, connected: socket.socket, on_end: Callable[[], object]
    ) -> None:
        """Call a function once when the peer has ended a connection."""
        if self._poll is None:
            self._poll = select.epoll()
            loop = asyncio.get_running_loop()
            loop.add_reader(self._poll.fileno(), self.report)
        descriptor = connected.fileno()
        self._handlers_by_descriptor[descriptor] = on_end
        self._poll.register(descriptor, select.EPOLLRDHUP | select.EPOLLONESHOT)

    def remove(self, connected: socket.socket) -> None:
        """Watch a connection no more; it is still open."""
        descriptor = connected.fileno()
        known = self._handlers_by_descriptor.pop(descriptor, None)
        if known is not None and self._poll is not None:
            self._poll.unregister(descriptor)

    def close(self) -> None:
        """Watch no connections any more."""
        self._handlers_by_descriptor.clear()
        poll = self._poll
        if poll is not None:
            self._poll = None
            asyncio.get_running_loop().remove_reader(poll.fileno())
            poll.close()

    def report(self) -> bool:
        """Report the ends that have arrived; return whether there were any.

        An event loop that was held runs what it has read before it looks for
        ends. What must not be done for a peer that has left asks here first.
        """
        if self._poll is None:
            return False
        events = self._poll.poll(0, _MAX_EVENTS)
        for descriptor, _mask in events:
            handler = self._handlers_by_descriptor.get(descriptor)
            if handler is not None:
                handler()
        return bool(events)
