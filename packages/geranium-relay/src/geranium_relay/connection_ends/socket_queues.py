"""What the kernel holds of a connection (tcp(7), ``SIOCINQ``, ``SIOCOUTQ``)."""

import array
import fcntl
import socket
import termios


def unread_bytes(connected: socket.socket) -> int:
    """Return how many bytes the kernel has received and nobody has read."""
    return _queued(connected, termios.FIONREAD)


def unsent_bytes(connected: socket.socket) -> int:
    """Return how many written bytes the peer has not acknowledged."""
    return _queued(connected, termios.TIOCOUTQ)


def _queued(connected: socket.socket, queue: int) -> int:
    """Return the size of a queue; 0 if the socket has been closed."""
    size = array.array('i', [0])
    try:
        fcntl.ioctl(connected.fileno(), queue, size)
    except (OSError, ValueError):
        return 0
    return size[0]
