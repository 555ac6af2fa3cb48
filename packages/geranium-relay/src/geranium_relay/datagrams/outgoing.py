"""A datagram that leaves to one address after the other."""

import collections
from collections.abc import Callable, Iterable
from typing import TypeAlias

REFRESH_S = 0.1  # after which what a datagram tells is encoded again

Address: TypeAlias = tuple[str, int]
# Returns the datagram as it is after it has waited for some seconds.
Encode: TypeAlias = Callable[[float], bytes]


class Outgoing:
    """A datagram and the addresses to which it has not been sent yet.

    What it tells ages while it waits, so that it is encoded again.

    Args:
        encode: Returns the datagram.
        addresses: Where it is sent.
        now: The current time in seconds.
    """

    def __init__(
        self, encode: Encode, addresses: Iterable[Address], now: float
    ) -> None:
        self.addresses = collections.deque(addresses)
        self._encode = encode
        self._composed_at = now
        self._encoded_at = now
        self._encoded = encode(0)

    def data(self, now: float) -> bytes:
        """Return the datagram as it is to be sent now."""
        if now - self._encoded_at > REFRESH_S:
            self._encoded_at = now
            self._encoded = self._encode(now - self._composed_at)
        return self._encoded
