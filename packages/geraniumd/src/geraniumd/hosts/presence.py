"""Storage of presences in the platform, one object per entry host."""

import dataclasses

import pydantic
from geranium_coordination import (
    ConflictError,
    IfVersion,
    ObjectStore,
    StoredObject,
    Unconditional,
)

from .directory import Presence

PREFIX = 'presence/'
_ADAPTER = pydantic.TypeAdapter(Presence)


class PresenceRegistry:
    """Stores the presences of hosts in the platform."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def announce(self, presence: Presence) -> None:
        """Write a host's presence and overwrite an existing one.

        Raises:
            StoreError: If the write failed or its result is unknown.
        """
        await self._store.write(
            f'{PREFIX}{presence.host}',
            dataclasses.asdict(presence),
            Unconditional(),
        )

    async def withdraw(self, presence: Presence) -> None:
        """Delete a host's presence unless a newer process has replaced it.

        Raises:
            StoreError: If the platform is unavailable.
        """
        key = f'{PREFIX}{presence.host}'
        stored = await self._store.read(key)
        if stored is None or _decode(stored) != presence:
            return
        try:
            await self._store.delete(key, IfVersion(stored.version))
        except ConflictError:
            return

    async def list(self) -> tuple[Presence, ...]:
        """Return all valid presences.

        Raises:
            StoreError: If the platform is unavailable.
        """
        listing = await self._store.read_prefix(PREFIX)
        decoded = (_decode(stored) for stored in listing)
        return tuple(presence for presence in decoded if presence is not None)


def _decode(stored: StoredObject) -> Presence | None:
    try:
        return _ADAPTER.validate_python(stored.body)
    except pydantic.ValidationError:
        return None
