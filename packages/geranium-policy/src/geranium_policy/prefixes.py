"""Prompt prefix hashes and an index of an engine's prefix cache."""

import collections
import dataclasses
from collections.abc import Iterable
from typing import TypeAlias

import xxhash

PREFIX_BLOCK_TOKENS = 128
CHARACTERS_PER_TOKEN = 4
PREFIX_BLOCK_CHARACTERS = PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN
MAX_PREFIX_BLOCKS = 64


def prefix_hashes(text: str) -> tuple[int, ...]:
    """Return a hash for each leading run of whole blocks of a prompt.

    A block is ``PREFIX_BLOCK_CHARACTERS`` characters. The hash of a run is
    the 64-bit xxhash of the run's last block in UTF-8, seeded with the hash
    of the run before it, the first with 0. Two prompts share the entry ``i``
    exactly if their first ``i + 1`` blocks are equal, collisions aside. At
    most ``MAX_PREFIX_BLOCKS`` entries are returned; a last block that is
    not full has none.
    """
    count = min(len(text) // PREFIX_BLOCK_CHARACTERS, MAX_PREFIX_BLOCKS)
    hashes = []
    previous = 0
    for index in range(count):
        start = index * PREFIX_BLOCK_CHARACTERS
        block = text[start : start + PREFIX_BLOCK_CHARACTERS]
        previous = xxhash.xxh3_64_intdigest(block.encode(), seed=previous)
        hashes.append(previous)
    return tuple(hashes)


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixStored:
    """Event of an engine that has cached the KV data of a prefix."""

    prefix: int


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixEvicted:
    """Event of an engine that has evicted a prefix from its cache."""

    prefix: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheCleared:
    """Event of an engine that has restarted with an empty prefix cache."""


CacheEvent: TypeAlias = PrefixStored | PrefixEvicted | CacheCleared


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixCacheSettings:
    """Limits of the index of an engine's prefix cache.

    Args:
        max_entries: Maximum number of prefixes indexed for one engine.
        retention_s: Time after the last use or event for which a prefix is
            assumed to be cached. It bounds the effect of a lost eviction
            event.
        gap_blocks: Number of consecutive unknown blocks that are skipped if
            a longer prefix is known, because cache events may be lost.
    """

    max_entries: int = 2048
    retention_s: float = 120
    gap_blocks: int = 2


class CachedPrefixes:
    """Index of the prefixes that one engine is assumed to have cached."""

    def __init__(self, settings: PrefixCacheSettings) -> None:
        self._settings = settings
        self._expiry_by_prefix: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of indexed prefixes."""
        return len(self._expiry_by_prefix)

    def holds(self, prefix: int, now: float) -> bool:
        """Return whether exactly this prefix is assumed to be cached."""
        return self._expiry_by_prefix.get(prefix, 0) > now

    def remember(self, prefixes: Iterable[int], now: float) -> None:
        """Add the prefixes of a request that runs on the engine."""
        expiry = now + self._settings.retention_s
        entries = self._expiry_by_prefix
        for prefix in prefixes:
            entries[prefix] = expiry
            entries.move_to_end(prefix)
        while len(entries) > self._settings.max_entries:
            entries.popitem(last=False)

    def apply(self, event: CacheEvent, now: float) -> None:
        """Apply one of the engine's cache events."""
        match event:
            case PrefixStored():
                self.remember((event.prefix,), now)
            case PrefixEvicted():
                self._expiry_by_prefix.pop(event.prefix, None)
            case CacheCleared():
                self._expiry_by_prefix.clear()

    def matched_blocks(self, prefixes: tuple[int, ...], now: float) -> int:
        """Return how many leading blocks are assumed to be cached.

        Uses a binary search. Up to ``gap_blocks`` consecutive unknown blocks
        before a known one are skipped.
        """
        if not self._any_cached(prefixes, 0, now):
            return 0
        low = 0
        high = len(prefixes)
        while high - low > 1:
            middle = (low + high) // 2
            if self._any_cached(prefixes, middle, now):
                low = middle
            else:
                high = middle
        return self._last_cached(prefixes, low, now)

    def _any_cached(
        self,
        prefixes: tuple[int, ...],
        start: int,
        now: float,
    ) -> bool:
        end = start + self._settings.gap_blocks + 1
        expiry_by_prefix = self._expiry_by_prefix
        for prefix in prefixes[start:end]:
            if expiry_by_prefix.get(prefix, 0) > now:
                return True
        return False

    def _last_cached(
        self,
        prefixes: tuple[int, ...],
        start: int,
        now: float,
    ) -> int:
        end = start + self._settings.gap_blocks + 1
        last = 0
        for position, prefix in enumerate(prefixes[start:end], start + 1):
            if self._expiry_by_prefix.get(prefix, 0) > now:
                last = position
        return last
