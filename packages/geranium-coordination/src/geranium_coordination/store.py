"""The object store that coordination is built on.

The daemon implements :class:`ObjectStore` over the platform's object API;
whoever embeds this package may bring another.
"""

import dataclasses
from typing import Any, Protocol, TypeAlias

ABSENT_VERSION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object as it was read: its key, version and decoded JSON body."""

    key: str
    version: int
    body: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Unconditional:
    """Write whatever the present version is."""


@dataclasses.dataclass(frozen=True, slots=True)
class IfAbsent:
    """Write only where there is no object of this key."""


@dataclasses.dataclass(frozen=True, slots=True)
class IfVersion:
    """Write only where the object has this version."""

    version: int


Condition: TypeAlias = Unconditional | IfAbsent | IfVersion


class ObjectStore(Protocol):
    """Versioned objects with conditional writes and watches.

    Versions come from one counter over all objects: they only grow, also
    across the deletion and re-creation of a key. Every method raises
    ``UnavailableError`` if the call certainly took no effect and
    ``AnswerLostError`` if that is not known. Bodies are JSON values.
    """

    async def read(self, key: str) -> StoredObject | None:
        """Return the object, or ``None`` where it is absent."""
        ...

    async def read_prefix(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose keys begin so, ordered by key."""
        ...

    async def write(self, key: str, body: Any, condition: Condition) -> int:
        """Write the object and return its new version.

        Raises:
            ConflictError: If the condition did not hold.
        """
        ...

    async def delete(self, key: str, condition: Condition) -> None:
        """Delete the object; an absent one is a conflict.

        Raises:
            ConflictError: If the condition did not hold.
        """
        ...

    async def watch(
        self,
        key: str,
        seen_version: int,
        wait_s: float,
    ) -> StoredObject | None:
        """Wait until the object's version differs from the one seen.

        Returns the object as it is then, also where the wait ended first,
        and ``None`` where it is absent. ``ABSENT_VERSION`` stands for an
        absent object that was seen.
        """
        ...
