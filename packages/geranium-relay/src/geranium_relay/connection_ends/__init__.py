"""Tells at once when the other side of a connection has ended it.

A transport reads the end of a connection only after all bytes before it. While
nobody reads those, it does not learn of the end.
"""

from .socket_queues import unread_bytes, unsent_bytes
from .watch import EndWatch

__all__ = ['EndWatch', 'unread_bytes', 'unsent_bytes']
