"""Presences in the platform: one object for each entry host."""

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
    """Reads and writes presences."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def announce(self, presence: Presence) -> None:
        """Write a host's presence over what stood there.

        Raises:
            StoreError: If the write did not go through for certain.
        """
        await self._store.write(
            f'{PREFIX}{presence.host}',
            dataclasses.asdict(presence),
            Unconditional(),
        )

    async def withdraw(self, presence: Presence) -> None:
        """Delete a host's presence unless a newer start replaced it.

        Raises:
            StoreError: If the platform was not reached.
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
        """Return all presences that can be read.

        Raises:
            StoreError: If the platform was not reached.
        """
        listing = await self._store.read_prefix(PREFIX)
        decoded = (_decode(stored) for stored in listing)
        return tuple(presence for presence in decoded if presence is not None)


def _decode(stored: StoredObject) -> Presence | None:
    try:
        return _ADAPTER.validate_python(stored.body)
    except pydantic.ValidationError:
        return None
