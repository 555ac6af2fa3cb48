"""What the log says of a connection that broke under a call."""

import dataclasses
import time
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenConnection:
    """A connection at the moment at which a call on it failed.

    Args:
        local: Its own end, an address and a port.
        remote: Its other end.
        age_s: Time since it was opened.
        calls: The calls that it has carried, the failed one included.
        call_s: Time since the failed call was given to it.
    """

    local: str
    remote: str
    age_s: float
    calls: int
    call_s: float

    @property
    def is_reused(self) -> bool:
        """Whether it had carried other calls before the failed one."""
        return self.calls > 1

    def fields(self) -> dict[str, object]:
        """Return the fields for a log record."""
        return dataclasses.asdict(self)


class ConnectionHistory:
    """The ends of a connection, its age and the calls that it has carried.

    Args:
        transport: The connection; anything with asyncio's extra information.
    """

    def __init__(self, transport: Any) -> None:
        self.calls = 0
        # A closed connection does not name its ends any more.
        self._local = _name_of(transport, 'sockname')
        self._remote = _name_of(transport, 'peername')
        self._opened_at = time.monotonic()
        self._called_at = self._opened_at

    def count_call(self) -> None:
        """Count a call that begins now."""
        self.calls += 1
        self._called_at = time.monotonic()

    def broken(self) -> BrokenConnection:
        """Return what is known of the connection, which broke now."""
        now = time.monotonic()
        return BrokenConnection(
            self._local,
            self._remote,
            round(now - self._opened_at, 3),
            self.calls,
            round(now - self._called_at, 3),
        )


def _name_of(transport: Any, end: str) -> str:
    address = transport.get_extra_info(end) if transport else None
    if not address:
        return ''
    host, port = address[:2]
    return f'{host}:{port}'
