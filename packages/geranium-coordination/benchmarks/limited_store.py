"""An in-memory object store with the platform's rate limits and latency."""

import asyncio
import json
from collections import Counter
from typing import Any

from geranium_coordination import (
    Condition,
    ConflictError,
    IfAbsent,
    IfVersion,
    StoredObject,
    SystemClock,
    UnavailableError,
)

READS_PER_SECOND = 2000
WRITES_PER_SECOND = 300
LATENCY_S = 0.005
BURST_S = 0.1


class _RateLimit:
    """Limits calls per second, with a burst of a tenth of a second."""

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._clock = SystemClock()
        self._next_at = self._clock.now()

    def take(self) -> None:
        """Take one call.

        Raises:
            UnavailableError: If the rate is used up.
        """
        now = self._clock.now()
        next_at = max(self._next_at, now - BURST_S)
        if next_at > now:
            raise UnavailableError('rate limit', next_at - now)
        self._next_at = next_at + 1 / self._per_second


class LimitedStore:
    """Responds after a fixed latency and counts calls and bytes."""

    def __init__(
        self,
        writes_per_second: float = WRITES_PER_SECOND,
        latency_s: float = LATENCY_S,
    ) -> None:
        self._latency_s = latency_s
        self._reads = _RateLimit(READS_PER_SECOND)
        self._writes = _RateLimit(writes_per_second)
        self._stored_by_key: dict[str, tuple[int, str]] = {}
        self._version = 0
        self.counts: Counter[str] = Counter()

    @property
    def era(self) -> int:
        """Always 0: this store is never restored from a copy."""
        return 0

    async def read(self, key: str) -> StoredObject | None:
        """Return the object, or ``None`` if it is absent."""
        await self._start('read', self._reads)
        found = self._stored_by_key.get(key)
        if found is None:
            return None
        return self._decode(key, found)

    async def read_prefix(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose keys have the prefix, ordered by key."""
        await self._start('list', self._reads)
        return tuple(
            self._decode(key, found)
            for key, found in sorted(self._stored_by_key.items())
            if key.startswith(prefix)
        )

    async def write(self, key: str, body: Any, condition: Condition) -> int:
        """Write the object and return its new version."""
        await self._start('write', self._writes)
        self._check(key, condition)
        self._version += 1
        encoded = json.dumps(body, separators=(',', ':'))
        self.counts['bytes_written'] += len(encoded)
        self._stored_by_key[key] = (self._version, encoded)
        return self._version

    async def delete(self, key: str, condition: Condition) -> None:
        """Delete the object."""
        await self._start('delete', self._writes)
        self._check(key, condition)
        self._stored_by_key.pop(key)

    async def watch(
        self,
        key: str,
        seen_version: int,
        wait_s: float,
    ) -> StoredObject | None:
        """Return the current object; benchmarks do not wait."""
        return await self.read(key)

    def sizes(self) -> dict[str, int]:
        """Return the size of each object's JSON body by its key."""
        return {
            key: len(encoded)
            for key, (_, encoded) in self._stored_by_key.items()
        }

    async def _start(self, kind: str, rate: _RateLimit) -> None:
        try:
            rate.take()
        except UnavailableError:
            self.counts['refused'] += 1
            raise
        self.counts[kind] += 1
        await asyncio.sleep(self._latency_s)

    def _decode(self, key: str, found: tuple[int, str]) -> StoredObject:
        version, encoded = found
        self.counts['bytes_read'] += len(encoded)
        return StoredObject(key, version, json.loads(encoded))

    def _check(self, key: str, condition: Condition) -> None:
        present, _ = self._stored_by_key.get(key, (0, ''))
        match condition:
            case IfAbsent():
                wanted = 0
            case IfVersion(version):
                wanted = version
            case _:
                return
        if present != wanted:
            self.counts['conflict'] += 1
            raise ConflictError(key, present)
