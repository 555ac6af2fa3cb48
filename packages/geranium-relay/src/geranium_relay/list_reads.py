"""When a list that changes by itself was read, and whether it was followed."""

import math
from collections.abc import Callable


class ListReads:
    """The reads of a list, by this host and by others.

    Args:
        outage_s: Time without a read after which the list may have changed
            and changed back unnoticed.

    ``read_at`` is when the list was last read or confirmed, ``-inf`` before.
    ``listed_at`` is when this host last read it itself, ``-inf`` before.
    ``followed_since`` is when it was first read, or again after an outage;
    ``inf`` before. ``on_listed`` is called after each read of this host.
    """

    def __init__(self, outage_s: float) -> None:
        self.read_at = -math.inf
        self.listed_at = -math.inf
        self.followed_since = math.inf
        self.on_listed: Callable[[], None] | None = None
        self._outage_s = outage_s

    def is_outage(self, now: float) -> bool:
        """Return whether the list has not been read for too long."""
        return now - self.read_at > self._outage_s

    def is_followed(self, now: float) -> bool:
        """Return whether the list shows every change until lately.

        After an outage only a read of this host shows it: updates of peers
        that were sent before may arrive late.
        """
        return not self.is_outage(now) and self.listed_at >= self.followed_since

    def record(self, at: float) -> None:
        """Record that the list was read or confirmed."""
        if self.is_outage(at):
            self.followed_since = at
        self.read_at = max(self.read_at, at)

    def record_listed(self, at: float) -> None:
        """Record that this host has read the list itself."""
        self.listed_at = max(self.listed_at, at)
        if self.on_listed is not None:
            self.on_listed()
