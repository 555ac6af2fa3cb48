"""Checks the identities of hosts, which are read from the store and updates."""

from typing import Any

from .messages import PeerIdentity

_MAX_LENGTH = 256  # of a text, many of which fit a datagram
_MAX_PORT = 65535
_MAX_UINT32 = 0xFFFFFFFF
_MAX_UINT64 = 0xFFFFFFFFFFFFFFFF


def decode_identity(body: Any) -> PeerIdentity | None:
    """Return the identity in an entry, ``None`` if it can't be used."""
    if not isinstance(body, dict):
        return None
    try:
        identity = PeerIdentity(**body)
    except TypeError:
        return None
    return identity if is_usable(identity) else None


def is_usable(identity: PeerIdentity) -> bool:
    """Return whether updates can be sent to a host and can tell of it."""
    texts = (identity.host, identity.zone, identity.front, identity.address)
    return (
        all(map(_is_plain, texts))
        and _has_port(identity.address)
        and _is_in_range(identity.incarnation, _MAX_UINT64)
        and _is_in_range(identity.capacity, _MAX_UINT32)
    )


def _is_plain(text: object) -> bool:
    return (
        isinstance(text, str)
        and len(text) <= _MAX_LENGTH
        and text.isprintable()
    )


def _has_port(address: str) -> bool:
    port = address.rpartition(':')[-1]
    if not port.isascii() or not port.isdecimal():
        return False
    return 0 < int(port) <= _MAX_PORT


def _is_in_range(number: object, limit: int) -> bool:
    return isinstance(number, int) and 0 <= number <= limit
