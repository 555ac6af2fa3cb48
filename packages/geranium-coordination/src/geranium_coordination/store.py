"""The interface of the object store that coordination uses.

The daemon implements :class:`ObjectStore` over the platform's object API.
An embedder of this package may supply another implementation.
"""

import dataclasses
from typing import Any, Protocol, TypeAlias

ABSENT_VERSION = 0
_REVISION_BITS = 40  # leaves 13 bits for eras in exact JSON numbers
_REVISIONS_PER_ERA = 1 << _REVISION_BITS


def make_version(era: int, revision: int) -> int:
    """Return the version of an object state.

    Versions order first by the era of the store, then by the revision, so a
    revision that a restored store assigns again makes a new version.
    """
    return era * _REVISIONS_PER_ERA + revision


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version // _REVISIONS_PER_ERA


def revision_of(version: int) -> int:
    """Return the revision of a version within its era."""
    return version % _REVISIONS_PER_ERA


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

    A store may be restored from an older copy. It then begins the next era
    and has lost what it acknowledged since the copy: objects are absent or
    older, and their versions are in the new era. A condition with a version
    of an earlier era is never met, and a response from an earlier era than
    one already seen is not returned: the read raises ``UnavailableError``,
    the write ``AnswerLostError``. What must outlast a restored copy needs
    another home, such as the processes that acted on it.
    """

    @property
    def era(self) -> int:
        """The latest era that a response has shown; 0 before the first."""
        ...

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
