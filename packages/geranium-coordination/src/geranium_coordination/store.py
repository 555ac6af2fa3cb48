"""The interface of the object store that coordination uses.

The daemon implements :class:`ObjectStore` over the platform's object API.
An embedder of this package may supply another implementation.
"""

import dataclasses
from typing import Any, Protocol, TypeAlias

ABSENT_VERSION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object that was read: its key, version and decoded JSON body."""

    key: str
    version: int
    body: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Unconditional:
    """Write regardless of the current version."""


@dataclasses.dataclass(frozen=True, slots=True)
class IfAbsent:
    """Write only if the key has no object."""


@dataclasses.dataclass(frozen=True, slots=True)
class IfVersion:
    """Write only if the object has this version."""

    version: int


Condition: TypeAlias = Unconditional | IfAbsent | IfVersion


class ObjectStore(Protocol):
    """Versioned objects with conditional writes and watches.

    One counter assigns the versions of all objects: versions only grow, also
    when a key is deleted and created again. Every method raises
    ``UnavailableError`` if the call certainly took no effect and
    ``AnswerLostError`` if its effect is unknown. Bodies are JSON values.
    """

    async def read(self, key: str) -> StoredObject | None:
        """Return the object, or ``None`` if it is absent."""
        ...

    async def read_prefix(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose keys have the prefix, ordered by key."""
        ...

    async def write(self, key: str, body: Any, condition: Condition) -> int:
        """Write the object and return its new version.

        Raises:
            ConflictError: If the condition is not met.
        """
        ...

    async def delete(self, key: str, condition: Condition) -> None:
        """Delete the object; an absent object is a conflict.

        Raises:
            ConflictError: If the condition is not met.
        """
        ...

    async def watch(
        self,
        key: str,
        seen_version: int,
        wait_s: float,
    ) -> StoredObject | None:
        """Wait until the object's version differs from the one seen.

        Returns the object at that time or at the end of the wait, and
        ``None`` if it is absent. A ``seen_version`` of ``ABSENT_VERSION``
        means that the caller saw no object.
        """
        ...
