"""Which batches are in a sealed window already."""

import dataclasses
from collections.abc import Iterable, Mapping

from .usage_batches import UsageBatch


@dataclasses.dataclass(frozen=True, slots=True)
class OriginProgress:
    """What of one origin is in sealed windows.

    Args:
        counted_to: Highest sequence that was counted.
        window: Window of that batch.
        missing: Lower sequences that were not at hand.
    """

    counted_to: int = 0
    window: int = 0
    missing: frozenset[int] = frozenset()

    def accepts(self, sequence: int) -> bool:
        """Tell whether the batch was not counted yet."""
        return sequence > self.counted_to or sequence in self.missing

    def count(self, batches: Iterable[UsageBatch]) -> 'OriginProgress':
        """Return the account with these batches counted."""
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
    """The accounts of all origins after a window was sealed.

    ``oldest_window`` is the oldest one whose batches are still taken. An
    origin is forgotten well after that, so that nothing of it can be
    counted twice.
    """

    by_origin: Mapping[str, OriginProgress] = dataclasses.field(
        default_factory=dict,
    )
    oldest_window: int = 0

    def accepts(self, batch: UsageBatch) -> bool:
        """Tell whether a batch is to go into a coming window."""
        if batch.window < self.oldest_window:
            return False
        account = self.by_origin.get(batch.origin, OriginProgress())
        return account.accepts(batch.sequence)

    def count(
        self,
        batches: Iterable[UsageBatch],
        window: int,
        late_windows: int,
    ) -> 'CountedBatches':
        """Return the accounts with these batches counted into a window."""
        by_origin = dict(self.by_origin)
        for origin, counted in _group_by_origin(batches).items():
            account = by_origin.get(origin, OriginProgress())
            by_origin[origin] = account.count(counted)
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
