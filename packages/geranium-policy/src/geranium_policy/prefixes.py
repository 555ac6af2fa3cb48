"""Prompt prefixes: their hashes, and which of them an engine has cached."""

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
    chained = 0
    for index in range(count):
        start = index * PREFIX_BLOCK_CHARACTERS
        block = text[start : start + PREFIX_BLOCK_CHARACTERS]
        chained = xxhash.xxh3_64_intdigest(block.encode(), seed=chained)
        hashes.append(chained)
    return tuple(hashes)


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixStored:
    """An engine's event: it holds the KV cache of this prefix now."""

    prefix: int


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixEvicted:
    """An engine's event: it no longer holds this prefix."""

    prefix: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheCleared:
    """The engine has started anew and holds no prefixes."""


CacheEvent: TypeAlias = PrefixStored | PrefixEvicted | CacheCleared


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixCacheSettings:
    """Bounds on what is remembered of an engine's prefix cache.

    Args:
        max_entries: Prefixes remembered for one engine.
        retention_s: How long a prefix is believed to be cached after it
            was last used or reported. It bounds the harm of an eviction
            whose event was lost.
        gap_blocks: Unknown blocks in a row that are bridged when a longer
            prefix is known, because events come with gaps.
    """

    max_entries: int = 2048
    retention_s: float = 120
    gap_blocks: int = 2


class CachedPrefixes:
    """What one engine is believed to hold in its prefix cache."""

    def __init__(self, settings: PrefixCacheSettings) -> None:
        self._settings = settings
        self._expiry_by_prefix: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return how many prefixes are remembered."""
        return len(self._expiry_by_prefix)

    def holds(self, prefix: int, now: float) -> bool:
        """Tell whether this very prefix is believed to be cached."""
        return self._expiry_by_prefix.get(prefix, 0) > now

    def remember(self, prefixes: Iterable[int], now: float) -> None:
        """Note that a request with these prefixes runs on the engine."""
        expiry = now + self._settings.retention_s
        entries = self._expiry_by_prefix
        for prefix in prefixes:
            entries[prefix] = expiry
            entries.move_to_end(prefix)
        while len(entries) > self._settings.max_entries:
            entries.popitem(last=False)

    def apply(self, event: CacheEvent, now: float) -> None:
        """Take in one of the engine's cache events."""
        match event:
            case PrefixStored():
                self.remember((event.prefix,), now)
            case PrefixEvicted():
                self._expiry_by_prefix.pop(event.prefix, None)
            case CacheCleared():
                self._expiry_by_prefix.clear()

    def matched_blocks(self, prefixes: tuple[int, ...], now: float) -> int:
        """Return how many leading blocks are believed to be cached.

        Takes logarithmic time. Runs of up to ``gap_blocks`` unknown blocks
        before a known one are bridged.
        """
        if not self._is_near(prefixes, 0, now):
            return 0
        low = 0
        high = len(prefixes)
        while high - low > 1:
            middle = (low + high) // 2
            if self._is_near(prefixes, middle, now):
                low = middle
            else:
                high = middle
        return self._last_known(prefixes, low, now)

    def _is_near(
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

    def _last_known(
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
