"""A host's usage ledger: what it counted and holds for its peers."""

import asyncio
import contextlib
from collections.abc import Iterable

from geranium_model import Usage

from .clock import Clock, SystemClock
from .counted_batches import CountedBatches
from .usage_batches import ReplicationError, UsageBatch, UsageReplicator
from .usage_settings import UsageSettings


class UsageLedger:
    """Counts usage and keeps batches until they are in a sealed window.

    Usage is acknowledged once the batch that holds it is replicated.
    Batches are sent one after the other, so that a batch is never changed
    after a peer may have seen it.

    Args:
        origin: This host with its incarnation, never the same again after
            a restart.
        replicator: Hands batches to peers.
        settings: How often batches are made.
        clock: The clock of the intervals.
    """

    def __init__(
        self,
        origin: str,
        replicator: UsageReplicator,
        settings: UsageSettings | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._origin = origin
        self._name = origin
        self._replicator = replicator
        self._settings = settings or UsageSettings()
        self._clock = clock or SystemClock()
        self._open: dict[str, Usage] = {}
        self._window = 0
        self._sequence = 0
        self._unsent: list[UsageBatch] = []
        self._batches_by_origin: dict[str, dict[int, UsageBatch]] = {}
        self._replicating = asyncio.Lock()

    def record(self, window: int, team: str, usage: Usage) -> None:
        """Count usage in a window, or in a later one that was begun."""
        if window > self._window:
            self._close_batch()
            self._begin(window)
        self._open[team] = self._open.get(team, Usage()) + usage

    async def run(self) -> None:
        """Replicate what was counted at each interval, until cancelled."""
        while True:
            due_at = self._clock.now() + self._settings.batch_interval_s
            await self._clock.sleep_until(due_at)
            with contextlib.suppress(ReplicationError):
                # What failed stays and goes out at the next interval.
                await self.replicate()

    async def replicate(self) -> None:
        """Return once all that was counted so far is acknowledged.

        Raises:
            ReplicationError: If it is not; nothing is lost by it.
        """
        self._close_batch()
        async with self._replicating:
            while self._unsent:
                await self._replicator.replicate(self._unsent[0])
                self._unsent.pop(0)

    def merge(self, batches: Iterable[UsageBatch]) -> None:
        """Hold a peer's batches; the same ones again change nothing."""
        for batch in batches:
            held = self._batches_by_origin.setdefault(batch.origin, {})
            held.setdefault(batch.sequence, batch)

    def batches(self, through_window: int) -> tuple[UsageBatch, ...]:
        """Return own and peers' batches of this window and earlier ones."""
        self._close_batch()
        return tuple(
            batch
            for held in self._batches_by_origin.values()
            for batch in held.values()
            if batch.window <= through_window
        )

    def prune(self, accounts: CountedBatches) -> None:
        """Drop batches that are in a sealed window or too old for any."""
        for origin, held in tuple(self._batches_by_origin.items()):
            kept = {
                batch.sequence: batch
                for batch in held.values()
                if accounts.accepts(batch)
            }
            self._batches_by_origin[origin] = kept
            if not kept:
                self._batches_by_origin.pop(origin)

    def _begin(self, window: int) -> None:
        """Begin a window, under a new name after a long time without use.

        Accounts forget an origin by then, and sequences would not be known
        to have been counted.
        """
        if window - self._window >= self._settings.late_windows:
            self._name = f'{self._origin}@{window}'
            self._sequence = 0
        self._window = window

    def _close_batch(self) -> None:
        if not self._open:
            return
        self._sequence += 1
        batch = UsageBatch(
            self._name,
            self._sequence,
            self._window,
            self._open,
        )
        self._open = {}
        self._unsent.append(batch)
        self.merge((batch,))
