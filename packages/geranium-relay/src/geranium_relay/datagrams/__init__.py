"""Datagrams between hosts, and how long each may have waited to be read.

What a datagram says is as old as its sender says, plus the time for which it has
waited. A process that is suspended, or busy, reads it long after it arrived.
"""

from .endpoint import DatagramEndpoint, DatagramReceiver
from .outgoing import Address, Encode
from .pace import PaceSettings, SendPace

__all__ = [
    'Address',
    'DatagramEndpoint',
    'DatagramReceiver',
    'Encode',
    'PaceSettings',
    'SendPace',
]
