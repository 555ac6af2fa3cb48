"""Estimates which prompt prefixes engines have cached."""

import collections
from collections.abc import Sequence

import xxhash

from .messages import PromptPart
from .targets import Target

CACHE_SHARE = 0.7  # of an engine's memory; running requests use the rest


class PrefixCacheIndex:
    """Tracks the prompt parts sent to each engine, with LRU eviction.

    Args:
        kv_tokens: Tokens that an engine's memory holds.
    """

    def __init__(self, kv_tokens: int) -> None:
        self._limit = kv_tokens * CACHE_SHARE
        self._parts_by_target: dict[str, collections.OrderedDict[str, int]] = {}
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
            collections.OrderedDict(),
        )
        tokens = self._tokens_by_target.get(target, 0)
        for part in parts:
            if part.identity in cached:
                cached.move_to_end(part.identity)
                continue
            cached[part.identity] = part.tokens
            tokens += part.tokens
        while tokens > self._limit and cached:
            tokens -= cached.popitem(last=False)[1]
        self._tokens_by_target[target] = tokens

    def remove_target(self, target: str) -> None:
        """Remove all entries of an engine."""
        self._parts_by_target.pop(target, None)
        self._tokens_by_target.pop(target, None)


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
