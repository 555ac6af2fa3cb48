"""Decodes the identities of other hosts, which may run another build."""

from collections.abc import Mapping
from typing import Any

from .messages import PeerIdentity

_MAX_LENGTH = 256  # of a text, many of which fit a datagram
_MAX_PORT = 65535
_MAX_UINT32 = 0xFFFFFFFF
_MAX_UINT64 = 0xFFFFFFFFFFFFFFFF


def decode_identity(message: Any) -> PeerIdentity:
    """Return the identity in a struct of a peer update.

    Raises:
        ValueError: If updates or callers can't be sent to the host.
    """
    return check_identity(
        PeerIdentity(
            message.host,
            message.zone,
            message.front,
            message.address,
            message.incarnation,
            message.capacity,
        )
    )


def decode_stored_identity(body: Any) -> PeerIdentity:
    """Return the identity in an entry of the store.

    Fields that this build does not know are ignored.

    Raises:
        ValueError: If a field is missing or invalid.
    """
    if not isinstance(body, dict):
        raise ValueError('not an object')
    return check_identity(
        PeerIdentity(
            host=_get_text(body, 'host'),
            zone=_get_text(body, 'zone'),
            front=_get_text(body, 'front'),
            address=_get_text(body, 'address'),
            incarnation=_get_number(body, 'incarnation'),
            capacity=_get_number({'capacity': 0, **body}, 'capacity'),
        )
    )


def check_identity(identity: PeerIdentity) -> PeerIdentity:
    """Return the identity of a host that updates can be sent to and tell of.

    Raises:
        ValueError: If a field is invalid.
    """
    names = (identity.host, identity.zone)
    if not identity.host or not all(map(_is_plain, names)):
        raise ValueError('a host or zone without a usable name')
    if not all(map(_is_address, (identity.front, identity.address))):
        raise ValueError('an address that nobody can connect to')
    _check_range(identity.incarnation, _MAX_UINT64)
    _check_range(identity.capacity, _MAX_UINT32)
    return identity


def _check_range(number: int, limit: int) -> None:
    if not 0 <= number <= limit:
        raise ValueError('a number out of range')


def _get_text(body: Mapping[str, object], name: str) -> str:
    found = body.get(name)
    if not isinstance(found, str):
        raise ValueError(f'{name}: not a text')
    return found


def _get_number(body: Mapping[str, object], name: str) -> int:
    found = body.get(name)
    if not isinstance(found, int):
        raise ValueError(f'{name}: not a whole number')
    return found


def _is_plain(text: str) -> bool:
    return len(text) <= _MAX_LENGTH and text.isprintable()


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(':')
    if not _is_plain(address) or not host:
        return False
    if not port.isascii() or not port.isdecimal():
        return False
    return 0 < int(port) <= _MAX_PORT
