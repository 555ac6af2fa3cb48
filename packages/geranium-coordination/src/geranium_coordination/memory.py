"""An in-memory object store."""

import asyncio
import copy
import dataclasses
from collections.abc import Mapping
from typing import Any

from .exceptions import ConflictError
from .store import (
    ABSENT_VERSION,
    Condition,
    IfAbsent,
    IfVersion,
    StoredObject,
    Unconditional,
    make_version,
    revision_of,
)


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryStoreCopy:
    """The content of a store at one time."""

    objects_by_key: Mapping[str, StoredObject]
    last_revision: int


class MemoryStore:
    """An :class:`ObjectStore` for tests and for single-process embedders.

    It responds immediately and is always available. Every write and deletion
    takes effect before the method first awaits.
    """

    def __init__(self) -> None:
        self.era = 0
        self._objects_by_key: dict[str, StoredObject] = {}
        self._last_revision = revision_of(ABSENT_VERSION)
        self._changed = asyncio.Event()

    def save_copy(self) -> MemoryStoreCopy:
        """Return a copy to restore later."""
        return MemoryStoreCopy(dict(self._objects_by_key), self._last_revision)

    def restore_copy(self, saved: MemoryStoreCopy) -> None:
        """Begin the next era with the content of a copy.

        Revisions since the copy are assigned again.
        """
        self.era += 1
        self._last_revision = saved.last_revision
        self._objects_by_key = {
            key: dataclasses.replace(
                found,
                version=make_version(self.era, revision_of(found.version)),
            )
            for key, found in saved.objects_by_key.items()
        }
        self._notify()

    async def read(self, key: str) -> StoredObject | None:
        """Return the object, or ``None`` if it is absent."""
        return copy.deepcopy(self._objects_by_key.get(key))

    async def read_prefix(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose keys have the prefix, ordered by key."""
        return tuple(
            copy.deepcopy(self._objects_by_key[key])
            for key in sorted(self._objects_by_key)
            if key.startswith(prefix)
        )

    async def write(self, key: str, body: Any, condition: Condition) -> int:
        """Write the object and return its new version.

        Raises:
            ConflictError: If the condition is not met.
        """
        self._check(key, condition)
        version = self._next_version()
        self._objects_by_key[key] = StoredObject(
            key,
            version,
            copy.deepcopy(body),
        )
        self._notify()
        return version

    async def delete(self, key: str, condition: Condition) -> None:
        """Delete the object; an absent object is a conflict.

        Raises:
            ConflictError: If the condition is not met.
        """
        self._check(key, condition)
        if self._objects_by_key.pop(key, None) is None:
            raise ConflictError(key, ABSENT_VERSION)
        self._next_version()
        self._notify()

    async def watch(
        self,
        key: str,
        seen_version: int,
        wait_s: float,
    ) -> StoredObject | None:
        """Wait until the object's version differs from the one seen."""
        try:
            async with asyncio.timeout(wait_s):
                await self._wait_for_change(key, seen_version)
        except TimeoutError:
            return await self.read(key)
        return await self.read(key)

    async def _wait_for_change(self, key: str, seen_version: int) -> None:
        while self._version(key) == seen_version:
            await self._changed.wait()

    def _next_version(self) -> int:
        self._last_revision += 1
        return make_version(self.era, self._last_revision)

    def _version(self, key: str) -> int:
        found = self._objects_by_key.get(key)
        return ABSENT_VERSION if found is None else found.version

    def _check(self, key: str, condition: Condition) -> None:
        present = self._version(key)
        match condition:
            case Unconditional():
                return
            case IfAbsent():
                expected = ABSENT_VERSION
            case IfVersion(version):
                expected = version
        if present != expected:
            raise ConflictError(key, present)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
