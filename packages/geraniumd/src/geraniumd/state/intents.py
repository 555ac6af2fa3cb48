"""Operators' orders to engines, stored in the platform until executed."""

import dataclasses
from typing import Any

import pydantic
from geranium_coordination import (
    ConflictError,
    IfAbsent,
    IfVersion,
    ObjectStore,
)

from ..process import OperatorConflictError

PREFIX = 'intents/engines/'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineIntent:
    """An operator's order to an engine that was not executed yet.

    ``command`` is in the wire format of ``docs/INTERFACES.md``.
    """

    engine: str
    service: str
    order_id: str
    author: str
    command: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredIntent:
    """An intent and the version of its stored object."""

    intent: EngineIntent
    version: int


_ADAPTER = pydantic.TypeAdapter(EngineIntent)


class EngineIntents:
    """Reads and writes operators' intents.

    Every method raises ``StoreError`` if the platform is unreachable.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def add(self, intent: EngineIntent) -> None:
        """Store an intent; storing the same order again has no effect.

        Raises:
            OperatorConflictError: If another order is pending for the engine.
        """
        is_stored = False
        while not is_stored:
            is_stored = await self._write(intent) or await self._is_stored(
                intent
            )

    async def list(self, service: str) -> tuple[StoredIntent, ...]:
        """Return the intents for a service's engines."""
        listing = await self._store.read_prefix(f'{PREFIX}{service}/')
        return tuple(
            StoredIntent(_ADAPTER.validate_python(found.body), found.version)
            for found in listing
        )

    async def is_pending(self, intent: EngineIntent) -> bool:
        """Return whether an intent was not executed yet."""
        found = await self._store.read(_key(intent))
        return found is not None and (found.body['order_id'] == intent.order_id)

    async def remove(self, stored: StoredIntent) -> None:
        """Delete an executed intent, unless its object has changed."""
        try:
            await self._store.delete(
                _key(stored.intent),
                IfVersion(stored.version),
            )
        except ConflictError:
            return

    async def _write(self, intent: EngineIntent) -> bool:
        body = dataclasses.asdict(intent)
        try:
            await self._store.write(_key(intent), body, IfAbsent())
        except ConflictError:
            return False
        return True

    async def _is_stored(self, intent: EngineIntent) -> bool:
        """Return whether this intent is the stored one.

        Raises:
            OperatorConflictError: If another order is stored for the engine.
        """
        found = await self._store.read(_key(intent))
        if found is None:
            return False
        other = _ADAPTER.validate_python(found.body)
        if other.order_id != intent.order_id:
            raise OperatorConflictError(
                f'{other.command} by {other.author} waits for '
                f'{intent.engine} (operation {other.order_id})',
            )
        return True


def _key(intent: EngineIntent) -> str:
    return f'{PREFIX}{intent.service}/{intent.engine}'
