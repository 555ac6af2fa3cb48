"""Which parts of prompts engines are believed to keep."""

import collections
from collections.abc import Sequence

import xxhash

from .messages import PromptPart
from .targets import Target

KEPT_SHARE = 0.7  # of an engine's memory; the rest is for running requests


class PrefixCacheIndex:
    """Follows what was sent to each engine, the oldest parts forgotten.

    Args:
        kv_tokens: Tokens that an engine's memory holds.
    """

    def __init__(self, kv_tokens: int) -> None:
        self._limit = kv_tokens * KEPT_SHARE
        self._parts_by_target: dict[str, collections.OrderedDict[str, int]] = {}
        self._tokens_by_target: dict[str, int] = {}

    def cached_tokens(self, target: str, parts: Sequence[PromptPart]) -> int:
        """Return how many tokens of a prompt an engine need not read."""
        kept = self._parts_by_target.get(target)
        if not kept:
            return 0
        tokens = 0
        for part in parts:
            if part.identity not in kept:
                break
            tokens += part.tokens
        return tokens

    def add(self, target: str, parts: Sequence[PromptPart]) -> None:
        """Believe that an engine keeps a prompt that was sent to it."""
        kept = self._parts_by_target.setdefault(
            target,
            collections.OrderedDict(),
        )
        tokens = self._tokens_by_target.get(target, 0)
        for part in parts:
            if part.identity in kept:
                kept.move_to_end(part.identity)
                continue
            kept[part.identity] = part.tokens
            tokens += part.tokens
        while tokens > self._limit and kept:
            tokens -= kept.popitem(last=False)[1]
        self._tokens_by_target[target] = tokens

    def remove_target(self, target: str) -> None:
        """Drop what an engine was believed to keep."""
        self._parts_by_target.pop(target, None)
        self._tokens_by_target.pop(target, None)


def home_engine(
    parts: Sequence[PromptPart],
    engines: Sequence[Target],
) -> str | None:
    """Return the engine that all hosts agree on for a prompt's shared parts.

    The last part belongs to the request itself, so the one before it is the
    longest beginning that others share. ``None`` without shared parts or
    engines.
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
