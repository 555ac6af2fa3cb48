"""Timeouts for calls to an object store, measured on a given clock."""

import asyncio
from collections.abc import Awaitable
from typing import Any, TypeVar

from .clock import Clock
from .exceptions import AnswerLostError, UnavailableError
from .store import Condition, ObjectStore, StoredObject

_Answer = TypeVar('_Answer')


async def finish_by(
    clock: Clock,
    deadline: float,
    awaitable: Awaitable[_Answer],
) -> _Answer:
    """Return the awaitable's result if it is ready by the deadline.

    Raises:
        TimeoutError: If it is not. The awaitable is cancelled.
    """
    work = asyncio.ensure_future(awaitable)
    alarm = asyncio.ensure_future(clock.sleep_until(deadline))
    try:
        await asyncio.wait(
            (work, alarm),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if work.done():
            return work.result()
        raise TimeoutError
    finally:
        alarm.cancel()
        work.cancel()


class TimedStore:
    """A store that applies a timeout to every call.

    A read that times out raises ``UnavailableError``; a write or deletion
    raises ``AnswerLostError``, since it may have taken effect or still do so.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        timeout_s: float,
    ) -> None:
        self._store = store
        self._clock = clock
        self._timeout_s = timeout_s

    @property
    def era(self) -> int:
        """The latest era that a response has shown."""
        return self._store.era

    async def read(self, key: str) -> StoredObject | None:
        """Return the object, or ``None`` if it is absent."""
        try:
            return await self._limit(self._store.read(key))
        except TimeoutError as error:
            raise UnavailableError(f'reading {key} timed out') from error

    async def read_prefix(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose keys have the prefix, ordered by key."""
        try:
            return await self._limit(self._store.read_prefix(prefix))
        except TimeoutError as error:
            raise UnavailableError(f'reading {prefix} timed out') from error

    async def write(self, key: str, body: Any, condition: Condition) -> int:
        """Write the object and return its new version."""
        try:
            return await self._limit(self._store.write(key, body, condition))
        except TimeoutError as error:
            raise AnswerLostError(f'writing {key} timed out') from error

    async def delete(self, key: str, condition: Condition) -> None:
        """Delete the object; an absent object is a conflict."""
        try:
            await self._limit(self._store.delete(key, condition))
        except TimeoutError as error:
            raise AnswerLostError(f'deleting {key} timed out') from error

    async def watch(
        self,
        key: str,
        seen_version: int,
        wait_s: float,
    ) -> StoredObject | None:
        """Wait for another version; the timeout starts after ``wait_s``."""
        deadline = self._clock.now() + wait_s + self._timeout_s
        watching = self._store.watch(key, seen_version, wait_s)
        try:
            return await finish_by(self._clock, deadline, watching)
        except TimeoutError as error:
            raise UnavailableError(f'watching {key} timed out') from error

    async def _limit(self, call: Awaitable[_Answer]) -> _Answer:
        deadline = self._clock.now() + self._timeout_s
        return await finish_by(self._clock, deadline, call)
