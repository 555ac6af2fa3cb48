"""An engine's KV memory and the prefix cache in it."""

import collections
import dataclasses
from collections.abc import Callable

CacheListener = Callable[[str, str], None]


@dataclasses.dataclass(eq=False, slots=True)
class Reservation:
    """Pieces of memory that a sequence holds.

    ``hits`` counts the prefixes found in the cache, which are the first of
    ``prefixes``; ``private`` the pieces that no other sequence can use.
    """

    prefixes: tuple[str, ...]
    hits: int
    private: int
    shared: list[str]

    @property
    def pieces(self) -> int:
        """How many pieces the reservation holds."""
        return self.private + len(self.shared)


class KvMemory:
    """Memory in pieces, with the cached prefixes that nobody holds in LRU.

    Args:
        pieces: Size of the memory.
        on_event: Called with ``'stored'`` or ``'evicted'`` and the prefix.
    """

    def __init__(self, pieces: int, on_event: CacheListener) -> None:
        self.pieces = pieces
        self._on_event = on_event
        self._private = 0
        self._holders_by_prefix: dict[str, int] = {}
        self._idle: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    @property
    def used(self) -> int:
        """How many pieces are held; what is only cached counts as free."""
        return self._private + len(self._holders_by_prefix) - len(self._idle)

    def reserve(
        self,
        prefixes: tuple[str, ...],
        pieces: int,
    ) -> Reservation | None:
        """Hold ``pieces``, as many as possible of them from the cache.

        Returns:
            The reservation, ``None`` where the memory is short.
        """
        shared = self._cached(prefixes)
        private = pieces - len(shared)
        idle_hits = sum(1 for prefix in shared if prefix in self._idle)
        if private + idle_hits > self.pieces - self.used:
            return None
        for prefix in shared:
            self._hold(prefix)
        self._private += private
        self._evict_surplus()
        return Reservation(prefixes, len(shared), private, shared)

    def extend(self, reservation: Reservation, pieces: int) -> bool:
        """Let a reservation hold ``pieces``, and tell whether it does."""
        missing = max(0, pieces - reservation.pieces)
        if missing > self.pieces - self.used:
            return False
        reservation.private += missing
        self._private += missing
        self._evict_surplus()
        return True

    def store(self, reservation: Reservation) -> None:
        """Put the reservation's prefixes into the cache: they are computed.

        Where another sequence stored the same one first, this one's piece
        stays private.
        """
        for prefix in reservation.prefixes[reservation.hits :]:
            if prefix in self._holders_by_prefix:
                continue
            self._holders_by_prefix[prefix] = 1
            self._private -= 1
            reservation.private -= 1
            reservation.shared.append(prefix)
            self._on_event('stored', prefix)

    def release(self, reservation: Reservation) -> None:
        """Let go of all pieces; stored prefixes stay cached.

        The longest prefixes are the first to be evicted later.
        """
        self._private -= reservation.private
        reservation.private = 0
        for prefix in reversed(reservation.shared):
            self._holders_by_prefix[prefix] -= 1
            if not self._holders_by_prefix[prefix]:
                self._idle[prefix] = None
        reservation.shared.clear()

    def clear_cache(self) -> None:
        """Evict every cached prefix that nobody holds."""
        while self._idle:
            self._evict_oldest()

    def _cached(self, prefixes: tuple[str, ...]) -> list[str]:
        shared = []
        for prefix in prefixes:
            if prefix not in self._holders_by_prefix:
                break
            shared.append(prefix)
        return shared

    def _hold(self, prefix: str) -> None:
        self._holders_by_prefix[prefix] += 1
        self._idle.pop(prefix, None)

    def _evict_surplus(self) -> None:
        while self._private + len(self._holders_by_prefix) > self.pieces:
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        prefix, _ = self._idle.popitem(last=False)
        self._holders_by_prefix.pop(prefix)
        self._on_event('evicted', prefix)
