"""Reads stored objects in responses of the platform, which may be odd."""

from typing import Any

from geranium_coordination import StoredObject, UnavailableError
from geranium_relay import StoreResponse

_MAX_VERSION = 0x7FFFFFFFFFFFFFFF


def read_object(key: str, response: StoreResponse) -> StoredObject:
    """Return the object in a response.

    Raises:
        UnavailableError: If the response names no version.
    """
    version = read_version(response)
    if version is None:
        raise UnavailableError(f'{key}: no version')
    return StoredObject(key, version, response.document)


def read_version(response: StoreResponse) -> int | None:
    """Return the version that a response names, ``None`` if it is odd."""
    try:
        version = int(response.headers['ETag'].strip('"'))
    except (KeyError, ValueError):
        return None
    return version if 0 <= version <= _MAX_VERSION else None


def read_objects(
    response: StoreResponse,
) -> tuple[tuple[StoredObject, ...], int]:
    """Return the objects of a list, and how many malformed ones it has.

    Raises:
        UnavailableError: If the response is no list.
    """
    body = response.document
    listed = body.get('objects') if isinstance(body, dict) else None
    if not isinstance(listed, list):
        raise UnavailableError('malformed list of objects')
    found = tuple(filter(None, map(_read_row, listed)))
    return found, len(listed) - len(found)


def _read_row(row: Any) -> StoredObject | None:
    match row:
        case {'key': str(key), 'version': int(version), 'value': value}:
            is_valid = 0 <= version <= _MAX_VERSION
            return StoredObject(key, version, value) if is_valid else None
        case _:
            return None
