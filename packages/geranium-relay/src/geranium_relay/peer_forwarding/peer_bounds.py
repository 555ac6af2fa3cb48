"""Bounds what a host holds for the calls of other hosts."""

import asyncio
import dataclasses
import socket
from collections.abc import Awaitable, Callable

from ..client_limits import BudgetGate, PacedAcceptor, RefusedBytesError
from .connections import MessageConnection

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
_BACKLOG = 1024  # pending connections, more than in any burst


@dataclasses.dataclass(frozen=True, slots=True)
class PeerBounds:
    """Limits of the connections of other hosts.

    Args:
        gate: Grants the bytes of messages.
        max_connections: How many are open at once.
        receive_bytes: Size of the receive buffer of a connection.
    """

    gate: BudgetGate
    max_connections: int
    receive_bytes: int

    async def read(self, connection: MessageConnection) -> bytes:
        """Return the next message, whose bytes are held as they arrive.

        Raises:
            RefusedBytesError: If the bytes are needed for other calls.
            ConnectionEndedError: If there is none.
        """
        loop = asyncio.get_running_loop()
        account = self.gate.budget.open(None, 'peers')
        try:
            async with asyncio.timeout(None) as limit:
                account.evict = lambda: limit.reschedule(loop.time())
                return await connection.read(
                    lambda size: self.gate.hold(account, size)
                )
        except TimeoutError:
            if account.is_evicted:
                raise RefusedBytesError from None
            raise
        finally:
            self.gate.budget.close(account)


class BoundedPeerListener:
    """Accepts no more connections of other hosts than it may.

    Args:
        bounds: Limits.
        serve: Serves a connection to its end.
    """

    def __init__(self, bounds: PeerBounds, serve: Serve) -> None:
        self._bounds = bounds
        self._serve = serve
        self._open = 0
        self._acceptor: PacedAcceptor | None = None

    def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        listening = socket.create_server((host, port), backlog=_BACKLOG)
        # Connections inherit the size; it has to be set before they open.
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self._bounds.receive_bytes
        )
        self._acceptor = PacedAcceptor(listening, self._connect, self._has_room)
        self._acceptor.start()

    def close(self) -> None:
        """Accept no new connections."""
        if self._acceptor is not None:
            self._acceptor.stop()

    def _has_room(self, pending: int) -> bool:
        return self._open + pending < self._bounds.max_connections

    async def _connect(self, connected: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(
            lambda: asyncio.StreamReaderProtocol(
                asyncio.StreamReader(loop=loop), self._count, loop=loop
            ),
            connected,
        )
        self._open += 1

    async def _count(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._serve(reader, writer)
        finally:
            self._open -= 1
