"""Commits the operations of one bucket in batches."""

import asyncio
import dataclasses
from collections.abc import Callable, Sequence
from typing import TypeAlias

from .claim_buckets import (
    Claim,
    ClaimBucket,
    ClaimOperation,
    decode_bucket,
    encode_bucket,
)
from .claim_outcomes import (
    AlreadyCompleted,
    ClaimOutcome,
    ClaimUnavailable,
)
from .claim_settings import ClaimSettings
from .clock import Clock
from .exceptions import AnswerLostError, ConflictError, StoreError
from .rate_limiter import RateLimiter
from .retrier import Retrier
from .store import Condition, IfAbsent, IfVersion, ObjectStore

_Answer: TypeAlias = ClaimOutcome | None


@dataclasses.dataclass(slots=True, eq=False)
class _QueuedOperation:
    """An operation with the instant at which it is abandoned, if any.

    ``sent`` is set if the operation may be in the store because the response
    to its write was lost.
    """

    operation: ClaimOperation
    answer: asyncio.Future[_Answer]
    deadline: float | None
    sent: bool = False

    def finish(self, answer: _Answer) -> None:
        if not self.answer.done():
            self.answer.set_result(answer)


@dataclasses.dataclass(frozen=True, slots=True)
class _BucketSnapshot:
    """The bucket as it was last read or written."""

    condition: Condition
    bucket: ClaimBucket
    just_read: bool


class _Ticks:
    """Advances ticks by elapsed time, independently of wall clocks.

    A process advances the tick only after it has seen the same tick for a
    whole period, so that ticks are at least one period apart.
    """

    def __init__(self, clock: Clock, tick_s: float) -> None:
        self._clock = clock
        self._tick_s = tick_s
        self._seen = 0
        self._seen_at = clock.now()

    def advance(self, bucket: ClaimBucket) -> None:
        """Advance the bucket's tick if the period has passed."""
        now = self._clock.now()
        if bucket.tick != self._seen:
            self._seen = bucket.tick
            self._seen_at = now
        elif now >= self._seen_at + self._tick_s:
            bucket.tick += 1


class ClaimCommitter:
    """Writes one bucket; operations queue up while a write is in flight.

    Args:
        key: The bucket's object key.
        store: Object store that holds the bucket.
        settings: Sizes and time limits.
        clock: Clock of the deadlines.
        rate_limiter: Limit shared by the writes of all the host's buckets.
        is_gone: Returns whether a holder can no longer be running calls.
    """

    def __init__(
        self,
        key: str,
        store: ObjectStore,
        settings: ClaimSettings,
        clock: Clock,
        rate_limiter: RateLimiter,
        is_gone: Callable[[str], bool],
    ) -> None:
        self._key = key
        self._store = store
        self._settings = settings
        self._clock = clock
        self._rate_limiter = rate_limiter
        self._is_gone = is_gone
        self._retrier = Retrier(clock, settings.retry_delay_s)
        self._queue: list[_QueuedOperation] = []
        self._wake = asyncio.Event()
        self._snapshot: _BucketSnapshot | None = None
        self._contended = False
        self._abandoned: set[str] = set()
        self._ticks = _Ticks(clock, settings.tick_s)

    def submit(
        self,
        operation: ClaimOperation,
        deadline: float | None = None,
    ) -> asyncio.Future[_Answer]:
        """Queue an operation; without a deadline it is never abandoned."""
        answer = asyncio.get_running_loop().create_future()
        self._queue.append(_QueuedOperation(operation, answer, deadline))
        self._wake.set()
        return answer

    async def run(self) -> None:
        """Commit queued operations until cancelled."""
        while True:
            await self._wake.wait()
            await self._rate_limiter.wait()
            await self._commit_queue()
            if not self._queue and not self._abandoned:
                self._wake.clear()

    async def _commit_queue(self) -> None:
        """Try once to commit a batch of the queued operations."""
        batch = tuple(self._queue[: self._settings.batch_operations])
        try:
            answers = await self._commit(batch)
        except StoreError as error:
            self._snapshot = None
            self._contended |= isinstance(error, ConflictError)
            self._fail(batch, error)
            if not isinstance(error, ConflictError):
                await self._retrier.back_off(error)
        else:
            self._finish(batch, answers)

    async def _commit(self, batch: Sequence[_QueuedOperation]) -> list[_Answer]:
        snapshot = await self._current_snapshot()
        bucket = snapshot.bucket.copy()
        answers = self._apply(bucket, batch)
        if bucket != snapshot.bucket or self._abandoned:
            # This write also makes an abandoned write that is still in
            # flight fail its condition.
            await self._write(snapshot, bucket)
        elif not snapshot.just_read and not _are_final(answers):
            # Another host may have written since; that could change the
            # answers.
            await self._read()
            return await self._commit(batch)
        else:
            self._snapshot = dataclasses.replace(snapshot, just_read=False)
        return answers

    def _apply(
        self,
        bucket: ClaimBucket,
        batch: Sequence[_QueuedOperation],
    ) -> list[_Answer]:
        self._ticks.advance(bucket)
        bucket.expire(self._settings.retention_ticks)
        bucket.revoke(self._abandoned)
        has_space = bucket.size_bytes() < self._settings.bucket_limit_bytes
        return [self._apply_one(bucket, queued, has_space) for queued in batch]

    def _apply_one(
        self,
        bucket: ClaimBucket,
        queued: _QueuedOperation,
        has_space: bool,
    ) -> _Answer:
        operation = queued.operation
        if not isinstance(operation, Claim):
            bucket.settle(operation)
            return None
        ticket = operation.ticket
        if not has_space and ticket.claim_id not in bucket.entries:
            return self._unavailable('the bucket of claims is full')
        answer = bucket.claim(ticket, self._is_gone)
        return answer or self._unavailable('the attempt was given up')

    async def _current_snapshot(self) -> _BucketSnapshot:
        """Return the bucket that the next batch is applied to.

        While another host also writes the bucket, the cached copy is stale
        before each commit, so it is read again until it no longer changes.
        """
        cached = self._snapshot
        if cached is None:
            return await self._read()
        if not self._contended or cached.just_read:
            return cached
        current = await self._read()
        self._contended = current.condition != cached.condition
        return current

    async def _read(self) -> _BucketSnapshot:
        stored = await self._store.read(self._key)
        if stored is None:
            self._snapshot = _BucketSnapshot(
                IfAbsent(), ClaimBucket(), just_read=True
            )
        else:
            self._snapshot = _BucketSnapshot(
                IfVersion(stored.version),
                decode_bucket(stored.body),
                just_read=True,
            )
        return self._snapshot

    async def _write(
        self, snapshot: _BucketSnapshot, bucket: ClaimBucket
    ) -> None:
        version = await self._store.write(
            self._key,
            encode_bucket(bucket),
            snapshot.condition,
        )
        self._snapshot = _BucketSnapshot(
            IfVersion(version), bucket, just_read=False
        )
        self._abandoned.clear()

    def _finish(
        self,
        batch: Sequence[_QueuedOperation],
        answers: Sequence[_Answer],
    ) -> None:
        self._queue = self._queue[len(batch) :]
        for queued, answer in zip(batch, answers, strict=True):
            queued.finish(answer)

    def _fail(
        self, batch: Sequence[_QueuedOperation], error: StoreError
    ) -> None:
        """Abandon overdue operations; record which may have been written."""
        now = self._clock.now()
        for queued in batch:
            if isinstance(error, AnswerLostError):
                queued.sent = True
            if queued.deadline is not None and now >= queued.deadline:
                self._abandon(queued)

    def _abandon(self, queued: _QueuedOperation) -> None:
        self._queue.remove(queued)
        if queued.sent:
            self._abandoned.add(queued.operation.ticket.attempt)
        queued.finish(
            self._unavailable('the store is unavailable', queued.sent),
        )

    def _unavailable(
        self,
        detail: str,
        lingers: bool = False,
    ) -> ClaimUnavailable:
        return ClaimUnavailable(
            detail,
            self._settings.claim_timeout_s,
            lingers,
        )


def _are_final(answers: Sequence[_Answer]) -> bool:
    """Return whether later writes cannot change these answers."""
    return all(isinstance(answer, AlreadyCompleted) for answer in answers)
