"""Calls that must not arrive after their sender has given them up.

A call under a lease, or a write to a store, is given up at its timeout, or when
its sender stops or loses the lease. What the kernel still holds of it must not
be delivered after that: another holder may have acted since.
"""

from .sockets import open_resetting_socket

__all__ = ['open_resetting_socket']
