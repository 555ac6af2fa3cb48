"""Prefixes are hashed by blocks and indexed for a limited time."""

from geranium_policy.prefixes import (
    PREFIX_BLOCK_CHARACTERS,
    CacheCleared,
    CachedPrefixes,
    PrefixCacheSettings,
    PrefixEvicted,
    PrefixStored,
    prefix_hashes,
)

TEXT = ''.join(letter * PREFIX_BLOCK_CHARACTERS for letter in 'abcdefghi')
HASHES = prefix_hashes(TEXT)


def cache_of(**bounds):
    return CachedPrefixes(PrefixCacheSettings(**bounds))


def test_hashes_agree_exactly_on_the_shared_blocks():
    other = prefix_hashes(TEXT.replace('d', 'z', 1))
    assert other[:3] == HASHES[:3]
    assert not set(other).intersection(HASHES[3:])


def test_incomplete_block_has_no_hash():
    assert prefix_hashes('short') == ()
    assert prefix_hashes(TEXT[:-1]) == HASHES[:-1]


def test_lost_events_are_bridged():
    cache = cache_of(gap_blocks=2)
    cache.apply(PrefixStored(HASHES[0]), now=0)
    cache.apply(PrefixStored(HASHES[3]), now=0)
    cache.apply(PrefixStored(HASHES[7]), now=0)
    assert cache.matched_blocks(HASHES, now=1) == 4


def test_evicted_and_expired_entries_are_not_matched():
    cache = cache_of(retention_s=10)
    cache.remember(HASHES, now=0)
    cache.apply(PrefixEvicted(HASHES[-1]), now=1)
    assert cache.matched_blocks(HASHES, now=1) == len(HASHES) - 1
    assert cache.matched_blocks(HASHES, now=11) == 0


def test_least_recently_used_entries_are_dropped_first():
    cache = cache_of(max_entries=6, gap_blocks=0)
    cache.remember(HASHES[:6], now=0)
    cache.remember((1, 2, 3), now=1)
    assert len(cache) == 6
    assert cache.matched_blocks((1, 2, 3), now=1) == 3
    assert cache.matched_blocks(HASHES, now=1) == 0


def test_cleared_cache_matches_nothing():
    cache = cache_of()
    cache.remember(HASHES, now=0)
    cache.apply(CacheCleared(), now=0)
    assert cache.matched_blocks(HASHES, now=0) == 0
