"""A host's usage ledger: its own batches and copies of peers' batches."""

import asyncio
import contextlib
from collections.abc import Iterable

from geranium_model import Usage

from .clock import Clock, SystemClock
from .counted_batches import CountedBatches
from .usage_batches import ReplicationError, UsageBatch, UsageReplicator
from .usage_settings import UsageSettings


class UsageLedger:
    """Counts usage and keeps batches until a sealed window contains them.

    Usage is acknowledged once the batch that contains it is replicated.
    Batches are replicated one at a time, so that a batch never changes after
    a peer may have received it.

    Args:
        origin: This host with its incarnation, which is never reused
            after a restart.
        replicator: Sends batches to peers.
        settings: Intervals and limits.
        clock: Clock of the intervals.
    """

    def __init__(
        self,
        origin: str,
        replicator: UsageReplicator,
        settings: UsageSettings | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._origin = origin
        self._batch_origin = origin
        self._replicator = replicator
        self._settings = settings or UsageSettings()
        self._clock = clock or SystemClock()
        self._open_usage: dict[str, Usage] = {}
        self._window = 0
        self._sequence = 0
        self._unreplicated: list[UsageBatch] = []
        self._batches_by_origin: dict[str, dict[int, UsageBatch]] = {}
        self._replication_lock = asyncio.Lock()

    def record(self, window: int, team: str, usage: Usage) -> None:
        """Count usage in a window, or in a later one that has started."""
        if window > self._window:
            self._close_batch()
            self._start_window(window)
        self._open_usage[team] = self._open_usage.get(team, Usage()) + usage

    async def run(self) -> None:
        """Replicate the counted usage at each interval until cancelled."""
        while True:
            due_at = self._clock.now() + self._settings.batch_interval_s
            await self._clock.sleep_until(due_at)
            with contextlib.suppress(ReplicationError):
                # Failed batches are sent again at the next interval.
                await self.replicate()

    async def replicate(self) -> None:
        """Replicate all usage counted so far.

        Raises:
            ReplicationError: If a batch was not replicated. The ledger keeps
                it for the next attempt.
        """
        self._close_batch()
        async with self._replication_lock:
            while self._unreplicated:
                await self._replicator.replicate(self._unreplicated[0])
                self._unreplicated.pop(0)

    def merge(self, batches: Iterable[UsageBatch]) -> None:
        """Store a peer's batches; repeated ones have no effect."""
        for batch in batches:
            held = self._batches_by_origin.setdefault(batch.origin, {})
            held.setdefault(batch.sequence, batch)

    def batches(self, through_window: int) -> tuple[UsageBatch, ...]:
        """Return local and peers' batches up to this window."""
        self._close_batch()
        return tuple(
            batch
            for held in self._batches_by_origin.values()
            for batch in held.values()
            if batch.window <= through_window
        )

    def prune(self, accounts: CountedBatches) -> None:
        """Remove batches that are in a sealed window or too old for one."""
        for origin, held in tuple(self._batches_by_origin.items()):
            kept = {
                batch.sequence: batch
                for batch in held.values()
                if accounts.accepts(batch)
            }
            self._batches_by_origin[origin] = kept
            if not kept:
                self._batches_by_origin.pop(origin)

    def _start_window(self, window: int) -> None:
        """Start a window; use a new origin after a long time without usage.

        By then ``CountedBatches`` has dropped the old origin and could no
        longer recognize its sequence numbers as counted.
        """
        if window - self._window >= self._settings.late_windows:
            self._batch_origin = f'{self._origin}@{window}'
            self._sequence = 0
        self._window = window

    def _close_batch(self) -> None:
        if not self._open_usage:
            return
        self._sequence += 1
        batch = UsageBatch(
            self._batch_origin,
            self._sequence,
            self._window,
            self._open_usage,
        )
        self._open_usage = {}
        self._unreplicated.append(batch)
        self.merge((batch,))
