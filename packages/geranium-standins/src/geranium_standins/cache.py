"""KV memory of an engine, with its prefix cache."""

import collections
import dataclasses
from collections.abc import Callable

CacheListener = Callable[[str, str], None]


@dataclasses.dataclass(eq=False, slots=True)
class Reservation:
    """Memory pieces held by a sequence.

    ``hits`` is the number of leading ``prefixes`` that were found in the
    cache. ``private`` is the number of pieces that other sequences cannot
    share.
    """

    prefixes: tuple[str, ...]
    hits: int
    private: int
    shared: list[str]

    @property
    def pieces(self) -> int:
        """Number of pieces held by the reservation."""
        return self.private + len(self.shared)


class KvMemory:
    """Paged KV memory with an LRU cache of unreferenced prefixes.

    Args:
        pieces: Memory size in pieces.
        on_event: Called with ``'stored'`` or ``'evicted'`` and the prefix.
    """

    def __init__(self, pieces: int, on_event: CacheListener) -> None:
        self.pieces = pieces
        self._on_event = on_event
        self._private = 0
        self._reference_counts: dict[str, int] = {}
        self._unreferenced: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    @property
    def used(self) -> int:
        """Number of held pieces; unreferenced cached pieces count as free."""
        return (
            self._private
            + len(self._reference_counts)
            - len(self._unreferenced)
        )

    def reserve(
        self,
        prefixes: tuple[str, ...],
        pieces: int,
    ) -> Reservation | None:
        """Reserve ``pieces``, reusing cached prefixes where possible.

        Returns:
            The reservation, ``None`` if there is not enough free memory.
        """
        shared = self._cached_prefixes(prefixes)
        private = pieces - len(shared)
        idle_hits = sum(1 for prefix in shared if prefix in self._unreferenced)
        if private + idle_hits > self.pieces - self.used:
            return None
        for prefix in shared:
            self._acquire(prefix)
        self._private += private
        self._evict_surplus()
        return Reservation(prefixes, len(shared), private, shared)

    def extend(self, reservation: Reservation, pieces: int) -> bool:
        """Grow a reservation to ``pieces`` and return whether it fits."""
        missing = max(0, pieces - reservation.pieces)
        if missing > self.pieces - self.used:
            return False
        reservation.private += missing
        self._private += missing
        self._evict_surplus()
        return True

    def store(self, reservation: Reservation) -> None:
        """Add the reservation's computed prefixes to the cache.

        If another sequence has stored the same prefix, this reservation's
        piece stays private.
        """
        for prefix in reservation.prefixes[reservation.hits :]:
            if prefix in self._reference_counts:
                continue
            self._reference_counts[prefix] = 1
            self._private -= 1
            reservation.private -= 1
            reservation.shared.append(prefix)
            self._on_event('stored', prefix)

    def release(self, reservation: Reservation) -> None:
        """Release all pieces; stored prefixes stay cached.

        Longer prefixes are evicted before shorter ones.
        """
        self._private -= reservation.private
        reservation.private = 0
        for prefix in reversed(reservation.shared):
            self._reference_counts[prefix] -= 1
            if not self._reference_counts[prefix]:
                self._unreferenced[prefix] = None
        reservation.shared.clear()

    def clear_cache(self) -> None:
        """Evict all unreferenced prefixes."""
        while self._unreferenced:
            self._evict_oldest()

    def _cached_prefixes(self, prefixes: tuple[str, ...]) -> list[str]:
        shared = []
        for prefix in prefixes:
            if prefix not in self._reference_counts:
                break
            shared.append(prefix)
        return shared

    def _acquire(self, prefix: str) -> None:
        self._reference_counts[prefix] += 1
        self._unreferenced.pop(prefix, None)

    def _evict_surplus(self) -> None:
        while self._private + len(self._reference_counts) > self.pieces:
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        prefix, _ = self._unreferenced.popitem(last=False)
        self._reference_counts.pop(prefix)
        self._on_event('evicted', prefix)
