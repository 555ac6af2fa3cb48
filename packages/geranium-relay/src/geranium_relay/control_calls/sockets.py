"""Sockets that drop what they have not delivered."""

import socket
import struct
from typing import Any, TypeAlias

UNACKNOWLEDGED_MS = 1000  # after which the kernel ends a connection
_LINGER_ZERO = struct.pack('ii', 1, 0)
_SOCKET_FIELDS = 3

AddressInfo: TypeAlias = tuple[Any, ...]


def open_resetting_socket(address: AddressInfo) -> socket.socket:
    """Return a TCP socket whose close resets its connection.

    An ordinary close leaves unsent bytes to the kernel, which delivers them
    once the path is up again. The kernel resets the connection also if the
    process is killed, and if the peer acknowledges nothing while the process
    is suspended.

    Args:
        address: An entry of :func:`socket.getaddrinfo`.
    """
    family, kind, protocol = address[:_SOCKET_FIELDS]
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
    )
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    return opened
