"""Tracks which batches sealed windows contain."""

import dataclasses
from collections.abc import Iterable, Mapping

from .usage_batches import UsageBatch


@dataclasses.dataclass(frozen=True, slots=True)
class OriginProgress:
    """Batches of one origin that sealed windows contain.

    Args:
        counted_to: Highest counted sequence number.
        window: Highest window of the counted batches.
        missing: Lower sequence numbers that are not counted yet.
    """

    counted_to: int = 0
    window: int = 0
    missing: frozenset[int] = frozenset()

    def accepts(self, sequence: int) -> bool:
        """Return whether the batch is not counted yet."""
        return sequence > self.counted_to or sequence in self.missing

    def count(self, batches: Iterable[UsageBatch]) -> 'OriginProgress':
        """Return the progress after counting these batches."""
        counted = {batch.sequence for batch in batches}
        counted_to = max(counted | {self.counted_to})
        skipped = range(self.counted_to + 1, counted_to + 1)
        return OriginProgress(
            counted_to,
            max({batch.window for batch in batches} | {self.window}),
            (self.missing | set(skipped)) - counted,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CountedBatches:
    """Batches of all origins that the windows sealed so far contain.

    ``oldest_window`` is the oldest window whose batches are still accepted.
    An origin is removed well after its batches are too old to be accepted,
    so that none of them can be counted twice.
    """

    by_origin: Mapping[str, OriginProgress] = dataclasses.field(
        default_factory=dict,
    )
    oldest_window: int = 0

    def accepts(self, batch: UsageBatch) -> bool:
        """Return whether a later window must count the batch."""
        if batch.window < self.oldest_window:
            return False
        progress = self.by_origin.get(batch.origin, OriginProgress())
        return progress.accepts(batch.sequence)

    def count(
        self,
        batches: Iterable[UsageBatch],
        window: int,
        late_windows: int,
    ) -> 'CountedBatches':
        """Return the state after counting these batches into a window."""
        by_origin = dict(self.by_origin)
        for origin, counted in _group_by_origin(batches).items():
            progress = by_origin.get(origin, OriginProgress())
            by_origin[origin] = progress.count(counted)
        oldest_window = window - late_windows
        return CountedBatches(
            {
                name: kept
                for name, kept in by_origin.items()
                if kept.window >= oldest_window - late_windows
            },
            oldest_window,
        )


def _group_by_origin(
    batches: Iterable[UsageBatch],
) -> dict[str, list[UsageBatch]]:
    batches_by_origin: dict[str, list[UsageBatch]] = {}
    for batch in batches:
        batches_by_origin.setdefault(batch.origin, []).append(batch)
    return batches_by_origin
