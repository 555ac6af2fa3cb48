"""Estimates which prompt prefixes engines have cached."""

import collections
import dataclasses
from collections.abc import Callable, Sequence
from typing import TypeAlias

import xxhash

from .messages import PromptPart
from .targets import Target

_CachedParts: TypeAlias = collections.OrderedDict[str, '_CachedPart']
CACHE_SHARE = 0.7  # of an engine's memory; running requests use the rest


@dataclasses.dataclass(slots=True)
class _CachedPart:
    """A part, and how many of the prompts sent since it came contain it."""

    tokens: int
    prompts: int = 0


class PrefixCacheIndex:
    """Tracks the prompt parts sent to each engine, with LRU eviction.

    Args:
        kv_tokens: Tokens that an engine's memory holds.
    """

    def __init__(self, kv_tokens: int) -> None:
        self._limit = kv_tokens * CACHE_SHARE
        self._parts_by_target: dict[str, _CachedParts] = {}
        self._tokens_by_target: dict[str, int] = {}

    def cached_tokens(self, target: str, parts: Sequence[PromptPart]) -> int:
        """Return the number of leading prompt tokens that an engine caches."""
        cached = self._parts_by_target.get(target)
        if not cached:
            return 0
        tokens = 0
        for part in parts:
            if part.identity not in cached:
                break
            tokens += part.tokens
        return tokens

    def add(self, target: str, parts: Sequence[PromptPart]) -> None:
        """Record that a prompt was sent to an engine, which now caches it."""
        cached = self._parts_by_target.setdefault(
            target,
            _CachedParts(),
        )
        tokens = self._tokens_by_target.get(target, 0)
        for part in parts:
            known = cached.get(part.identity)
            if known is None:
                known = _CachedPart(part.tokens)
                cached[part.identity] = known
                tokens += part.tokens
            known.prompts += 1
            cached.move_to_end(part.identity)
        while tokens > self._limit and cached:
            tokens -= cached.popitem(last=False)[1].tokens
        self._tokens_by_target[target] = tokens

    def withdraw(self, target: str, parts: Sequence[PromptPart]) -> None:
        """Take back that a prompt was sent to an engine, which didn't run it.

        Parts that were cached before, or have been sent since, stay.
        """
        cached = self._parts_by_target.get(target, _CachedParts())
        for part in parts:
            known = cached.get(part.identity)
            if known is None:
                continue
            known.prompts -= 1
            if not known.prompts:
                cached.pop(part.identity)
                self._tokens_by_target[target] -= known.tokens

    def remove_target(self, target: str) -> None:
        """Remove all entries of an engine."""
        self._parts_by_target.pop(target, None)
        self._tokens_by_target.pop(target, None)


class PrefixCaches:
    """The prefix cache index of each service.

    Args:
        find_target: Returns the target with a key, if it is listed.
    """

    def __init__(self, find_target: Callable[[str], Target | None]) -> None:
        self._find_target = find_target
        self._index_by_service: dict[str, PrefixCacheIndex] = {}

    def of_service(self, service: str, kv_tokens: int) -> PrefixCacheIndex:
        """Return the index of a service's engines."""
        index = self._index_by_service.get(service)
        if index is None:
            index = PrefixCacheIndex(kv_tokens)
            self._index_by_service[service] = index
        return index

    def add(self, target: str, parts: Sequence[PromptPart]) -> None:
        """Record that a target caches prompt parts that were sent to it."""
        index = self._index_of(target)
        if index is not None:
            index.add(target, parts)

    def withdraw(self, target: str, parts: Sequence[PromptPart]) -> None:
        """Take back such a record: the target has not run the prompt."""
        index = self._index_of(target)
        if index is not None:
            index.withdraw(target, parts)

    def remove_target(self, target: str) -> None:
        """Remove all entries of a target."""
        for index in self._index_by_service.values():
            index.remove_target(target)

    def _index_of(self, target: str) -> PrefixCacheIndex | None:
        found = self._find_target(target)
        if found is None:
            return None
        return self._index_by_service.get(found.service)


def home_engine(
    parts: Sequence[PromptPart],
    engines: Sequence[Target],
) -> str | None:
    """Return the key of the home engine of a prompt's shared prefix.

    Rendezvous hashing makes all hosts choose the same engine. The last part
    is specific to the request, so the part before it ends the longest shared
    prefix. Returns ``None`` if there are no shared parts or no engines.
    """
    if len(parts) < 2:
        return None
    shared = parts[-2].identity
    best = max(
        engines,
        key=lambda engine: xxhash.xxh3_64_intdigest(
            f'{shared}/{engine.key}'.encode(),
        ),
        default=None,
    )
    return None if best is None else best.key
