"""Closes connections without leaving the rest of a call to the kernel."""

import asyncio
import socket
import struct

from .socket_queues import unsent_bytes

_LINGER_ZERO = struct.pack('ii', 1, 0)


def withdraw(transport: asyncio.WriteTransport) -> int:
    """Close a connection so that nothing of what it has written arrives later.

    After an ordinary close the kernel still delivers what the peer has not
    taken: a call that was given up arrives once its server reads or the path
    is up again. Such a connection is reset. Any other one ends with a FIN,
    which is sent again if it is lost. One that is closing already is aborted.

    Returns:
        How many bytes the peer had not taken.
    """
    if transport.is_closing():
        transport.abort()
        return 0
    connected = transport.get_extra_info('socket')
    unsent = transport.get_write_buffer_size() + unsent_bytes(connected)
    if unsent:
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        transport.abort()
    else:
        transport.close()
    return unsent
