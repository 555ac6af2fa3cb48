"""Ends of connections that neither side learns of late.

A transport reads the end of a connection only after all bytes before it. While
nobody reads those, it does not learn of the end. The other way round, the peer
gets what has been written before it gets the end.
"""

from .socket_queues import unread_bytes, unsent_bytes
from .watch import EndWatch
from .withdrawal import withdraw

__all__ = ['EndWatch', 'unread_bytes', 'unsent_bytes', 'withdraw']
