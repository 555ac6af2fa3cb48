"""Whether a byte of a call may have left the process."""

import asyncio
import dataclasses
from typing import Any

from .connection_ends import withdraw


@dataclasses.dataclass(slots=True)
class CallWrites:
    """What the current call on a connection has written."""

    has_written: bool = False
    unsent_bytes: int = 0  # when the connection was closed under it


class CallTransport:
    """The transport of a connection, which notes the writes of a call.

    asyncio sends at once if nothing is buffered. An error of that send means
    that the kernel took no byte; the transport then closes with an empty
    buffer. Any other write may reach the peer.

    Args:
        transport: A transport of plain TCP. One with TLS may send a part of a
            write before it fails.
        writes: Where the writes are noted.
    """

    def __init__(
        self, transport: asyncio.Transport, writes: CallWrites
    ) -> None:
        self._transport = transport
        self._writes = writes

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the transport itself."""
        return getattr(self._transport, name)

    def close(self) -> None:
        """Close, and withdraw what the server has not taken."""
        self._writes.unsent_bytes = withdraw(self._transport)

    def abort(self) -> None:
        """Close at once, and withdraw what the server has not taken."""
        self._writes.unsent_bytes = withdraw(self._transport)

    def write(self, data: Any) -> None:
        """Write as the transport does."""
        transport = self._transport
        transport.write(data)
        if not transport.is_closing() or transport.get_write_buffer_size():
            self._writes.has_written = True

    def writelines(self, parts: Any) -> None:
        """Write as the transport does."""
        self.write(b''.join(parts))
