"""Connections between hosts, which carry messages with their lengths."""

import asyncio
import contextlib
import struct
from collections.abc import Awaitable, Callable, Iterator

from ..broken_connections import BrokenConnection, ConnectionHistory
from ..connection_ends import EndWatch, withdraw

MAX_MESSAGE_BYTES = 33_554_432  # twice the largest body
_PART_BYTES = 65536
_LENGTH = struct.Struct('<I')


class ConnectionEndedError(Exception):
    """The connection broke or ended, or its next message is too large.

    ``connection`` says which one it was.
    """

    def __init__(
        self, detail: str, connection: BrokenConnection | None = None
    ) -> None:
        super().__init__(detail)
        self.connection = connection


class MessageConnection:
    """A connection that carries whole messages."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._history = ConnectionHistory(writer)
        self._history.count_call()

    def write(self, message: bytes) -> None:
        """Queue a message."""
        self._writer.writelines((_LENGTH.pack(len(message)), message))

    async def drain(self) -> None:
        """Wait until the peer takes more.

        Raises:
            ConnectionEndedError: If the connection is gone.
        """
        try:
            await self._writer.drain()
        except OSError as error:
            raise self._ended(repr(error)) from error

    async def read(
        self, hold: Callable[[int], Awaitable[None]] | None = None
    ) -> bytes:
        """Return the next message.

        Args:
            hold: Called for each part before it is read; ``None`` if the
                message is read at once.

        Raises:
            ConnectionEndedError: If there is none.
        """
        try:
            length = _LENGTH.unpack(
                await self._reader.readexactly(_LENGTH.size)
            )[0]
            if length > MAX_MESSAGE_BYTES:
                raise self._ended(f'message of {length} bytes')
            return await self._read_message(length, hold)
        except (OSError, asyncio.IncompleteReadError) as error:
            raise self._ended(repr(error)) from error

    async def wait_for_end(self) -> None:
        """Return when the peer has closed the connection."""
        try:
            await self._reader.read(1)
        except OSError:
            # A reset ends the connection like a close.
            return

    @contextlib.contextmanager
    def watched(
        self, ends: EndWatch, on_end: Callable[[], object]
    ) -> Iterator[None]:
        """Call a function if the peer closes the connection in the block."""
        connected = self._writer.get_extra_info('socket')
        ends.add(connected, on_end)
        try:
            yield
        finally:
            ends.remove(connected)

    def close(self) -> None:
        """Close the connection once what is queued has been sent."""
        self._writer.close()

    async def finish(self, limit_s: float) -> None:
        """Close the connection and return once what is queued has been sent.

        Args:
            limit_s: The time after which the rest is given up.
        """
        self._writer.close()
        try:
            async with asyncio.timeout(limit_s):
                await self._writer.wait_closed()
        except OSError:
            # This includes the timeout; a lost connection is closed already.
            self.abort()

    def abort(self) -> None:
        """Close the connection at once; what the peer has not taken is lost."""
        withdraw(self._writer.transport)

    async def _read_message(
        self, length: int, hold: Callable[[int], Awaitable[None]] | None
    ) -> bytes:
        if hold is None:
            return await self._reader.readexactly(length)
        message = bytearray()
        while len(message) < length:
            size = min(length - len(message), _PART_BYTES)
            await hold(size)
            message += await self._reader.readexactly(size)
        return bytes(message)

    def _ended(self, detail: str) -> ConnectionEndedError:
        return ConnectionEndedError(detail, self._history.broken())
