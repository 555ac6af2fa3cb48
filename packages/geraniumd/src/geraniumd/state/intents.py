"""What operators want of engines, kept in the platform until it is done."""

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
    """An operator's order to an engine, not yet carried out.

    ``command`` has the wire's shape (``docs/INTERFACES.md``).
    """

    engine: str
    service: str
    order_id: str
    author: str
    command: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredIntent:
    """An intent and the version of its object."""

    intent: EngineIntent
    version: int


_ADAPTER = pydantic.TypeAdapter(EngineIntent)


class EngineIntents:
    """Reads and writes operators' intents.

    Every method raises ``StoreError`` if the platform was not reached.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def add(self, intent: EngineIntent) -> None:
        """Ask for an order; the same order again changes nothing.

        Raises:
            OperatorConflictError: If another order waits for the engine.
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
        """Tell whether an intent was not carried out yet."""
        found = await self._store.read(_key(intent))
        return found is not None and (found.body['order_id'] == intent.order_id)

    async def remove(self, stored: StoredIntent) -> None:
        """Take out an intent that was carried out."""
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
        """Tell whether it is the one that waits; false if none does."""
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
