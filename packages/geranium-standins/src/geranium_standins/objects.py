"""Versioned object table of the platform."""

import asyncio
import bisect
import dataclasses
import itertools
from collections.abc import Iterator
from typing import TypeAlias

from .exceptions import AbsentObjectError, PreconditionError

ABSENT_VERSION = 0

_Waiters: TypeAlias = set[asyncio.Future[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object: its key, its version and its JSON text."""

    key: str
    version: int
    text: bytes


class ObjectTable:
    """Objects with a shared version counter and conditional writes.

    Deletions increment the counter too, so versions never repeat. A write
    condition is the expected version: ``ABSENT_VERSION`` requires that the
    object does not exist, and ``None`` accepts any version.
    """

    def __init__(self) -> None:
        self._objects_by_key: dict[str, StoredObject] = {}
        self._sorted_keys: list[str] = []
        self._version = ABSENT_VERSION
        self._waiters_by_key: dict[str, _Waiters] = {}

    def get(self, key: str) -> StoredObject | None:
        """Return the object, ``None`` if it does not exist."""
        return self._objects_by_key.get(key)

    def version_of(self, key: str) -> int:
        """Return the object's version, ``ABSENT_VERSION`` if none exists."""
        stored = self._objects_by_key.get(key)
        return stored.version if stored else ABSENT_VERSION

    def with_prefix(self, prefix: str) -> Iterator[StoredObject]:
        """Yield the objects whose keys start with the prefix, by key."""
        start = bisect.bisect_left(self._sorted_keys, prefix)
        for key in itertools.islice(self._sorted_keys, start, None):
            if not key.startswith(prefix):
                return
            yield self._objects_by_key[key]

    def put(self, key: str, text: bytes, condition: int | None) -> int:
        """Write an object and return its new version.

        Raises:
            PreconditionError: If the condition does not hold.
        """
        current_version = self._check(key, condition)
        if current_version == ABSENT_VERSION:
            bisect.insort(self._sorted_keys, key)
        self._version += 1
        self._objects_by_key[key] = StoredObject(key, self._version, text)
        self._wake(key)
        return self._version

    def delete(self, key: str, condition: int | None) -> int:
        """Delete an object and return the version of the deletion.

        Raises:
            AbsentObjectError: If the object does not exist.
            PreconditionError: If the condition does not hold.
        """
        if key not in self._objects_by_key:
            raise AbsentObjectError(key)
        self._check(key, condition)
        self._version += 1
        self._objects_by_key.pop(key)
        self._sorted_keys.pop(bisect.bisect_left(self._sorted_keys, key))
        self._wake(key)
        return self._version

    async def wait_changed(
        self,
        key: str,
        seen_version: int,
        timeout_s: float,
    ) -> bool:
        """Wait until the version differs and return whether it does.

        Returns early after :meth:`wake_all`.
        """
        if self.version_of(key) != seen_version:
            return True
        waiter = asyncio.get_running_loop().create_future()
        waiters = self._waiters_by_key.setdefault(key, set())
        waiters.add(waiter)
        try:
            await asyncio.wait((waiter,), timeout=timeout_s)
        finally:
            self._remove_waiter(key, waiter)
        return self.version_of(key) != seen_version

    def wake_all(self) -> None:
        """Wake all waiters."""
        for key in tuple(self._waiters_by_key):
            self._wake(key)

    def _check(self, key: str, condition: int | None) -> int:
        current_version = self.version_of(key)
        if condition is not None and condition != current_version:
            raise PreconditionError(current_version)
        return current_version

    def _wake(self, key: str) -> None:
        for waiter in self._waiters_by_key.pop(key, ()):
            if not waiter.done():
                waiter.set_result(None)

    def _remove_waiter(self, key: str, waiter: asyncio.Future[None]) -> None:
        waiters = self._waiters_by_key.get(key)
        if waiters is None:
            return
        waiters.discard(waiter)
        if not waiters:
            self._waiters_by_key.pop(key)
