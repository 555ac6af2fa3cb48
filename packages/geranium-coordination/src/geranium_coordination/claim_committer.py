"""Commits the operations of one bucket, many with each write."""

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
class _Queued:
    """An operation with the instant at which it is given up, if any.

    ``sent`` tells whether it may be written without an answer to that.
    """

    operation: ClaimOperation
    answer: asyncio.Future[_Answer]
    deadline: float | None
    sent: bool = False

    def finish(self, answer: _Answer) -> None:
        if not self.answer.done():
            self.answer.set_result(answer)


@dataclasses.dataclass(frozen=True, slots=True)
class _Head:
    """The bucket as it was last read or written."""

    condition: Condition
    bucket: ClaimBucket
    just_read: bool


class _Ticks:
    """Ages claims by real time, whatever any host's wall clock does.

    A process that saw a tick stand for the whole period makes the next
    one, so that ticks are never closer than that.
    """

    def __init__(self, clock: Clock, tick_s: float) -> None:
        self._clock = clock
        self._tick_s = tick_s
        self._seen = 0
        self._seen_at = clock.now()

    def advance(self, bucket: ClaimBucket) -> None:
        """Make the bucket's next tick if it is time."""
        now = self._clock.now()
        if bucket.tick != self._seen:
            self._seen = bucket.tick
            self._seen_at = now
        elif now >= self._seen_at + self._tick_s:
            bucket.tick += 1


class ClaimCommitter:
    """Writes one bucket: operations gather while a write is on its way.

    Args:
        key: The bucket's object key.
        store: Where the bucket is kept.
        settings: Sizes and time limits.
        clock: The clock of the deadlines.
        rate_limiter: Spreads the writes of all of the host's buckets.
        is_gone: Tells whether a holder can't be running a call any more.
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
        self._queue: list[_Queued] = []
        self._wake = asyncio.Event()
        self._head: _Head | None = None
        self._contended = False
        self._abandoned: set[str] = set()
        self._ticks = _Ticks(clock, settings.tick_s)

    def submit(
        self,
        operation: ClaimOperation,
        deadline: float | None = None,
    ) -> asyncio.Future[_Answer]:
        """Queue an operation; without a deadline it is never given up."""
        answer = asyncio.get_running_loop().create_future()
        self._queue.append(_Queued(operation, answer, deadline))
        self._wake.set()
        return answer

    async def run(self) -> None:
        """Commit what is queued, for ever."""
        while True:
            await self._wake.wait()
            await self._rate_limiter.wait()
            await self._commit_queue()
            if not self._queue and not self._abandoned:
                self._wake.clear()

    async def _commit_queue(self) -> None:
        """Try once to commit all that is queued now."""
        batch = tuple(self._queue[: self._settings.batch_operations])
        try:
            answers = await self._commit(batch)
        except StoreError as error:
            self._head = None
            self._contended |= isinstance(error, ConflictError)
            self._fail(batch, error)
            if not isinstance(error, ConflictError):
                await self._retrier.back_off(error)
        else:
            self._finish(batch, answers)

    async def _commit(self, batch: Sequence[_Queued]) -> list[_Answer]:
        head = await self._current_head()
        bucket = head.bucket.copy()
        answers = self._apply(bucket, batch)
        if bucket != head.bucket or self._abandoned:
            # Writing also keeps an abandoned write from landing later.
            await self._write(head, bucket)
        elif not head.just_read and not _are_final(answers):
            # Another host may have written what would change the answers.
            await self._read()
            return await self._commit(batch)
        else:
            self._head = dataclasses.replace(head, just_read=False)
        return answers

    def _apply(
        self,
        bucket: ClaimBucket,
        batch: Sequence[_Queued],
    ) -> list[_Answer]:
        self._ticks.advance(bucket)
        bucket.expire(self._settings.retention_ticks)
        bucket.revoke(self._abandoned)
        room = bucket.size_bytes() < self._settings.bucket_limit_bytes
        return [self._apply_one(bucket, queued, room) for queued in batch]

    def _apply_one(
        self,
        bucket: ClaimBucket,
        queued: _Queued,
        room: bool,
    ) -> _Answer:
        operation = queued.operation
        if not isinstance(operation, Claim):
            bucket.settle(operation)
            return None
        ticket = operation.ticket
        if not room and ticket.claim_id not in bucket.entries:
            return self._unavailable('the bucket of claims is full')
        answer = bucket.claim(ticket, self._is_gone)
        return answer or self._unavailable('the attempt was given up')

    async def _current_head(self) -> _Head:
        """Return the bucket to build upon.

        Another host that writes the bucket makes what is remembered stale
        before each turn: then it is read anew, until it stands still.
        """
        remembered = self._head
        if remembered is None:
            return await self._read()
        if not self._contended or remembered.just_read:
            return remembered
        present = await self._read()
        self._contended = present.condition != remembered.condition
        return present

    async def _read(self) -> _Head:
        stored = await self._store.read(self._key)
        if stored is None:
            self._head = _Head(IfAbsent(), ClaimBucket(), just_read=True)
        else:
            self._head = _Head(
                IfVersion(stored.version),
                decode_bucket(stored.body),
                just_read=True,
            )
        return self._head

    async def _write(self, head: _Head, bucket: ClaimBucket) -> None:
        version = await self._store.write(
            self._key,
            encode_bucket(bucket),
            head.condition,
        )
        self._head = _Head(IfVersion(version), bucket, just_read=False)
        self._abandoned.clear()

    def _finish(
        self,
        batch: Sequence[_Queued],
        answers: Sequence[_Answer],
    ) -> None:
        self._queue = self._queue[len(batch) :]
        for queued, answer in zip(batch, answers, strict=True):
            queued.finish(answer)

    def _fail(self, batch: Sequence[_Queued], error: StoreError) -> None:
        """Give up what is overdue and note what may have been written."""
        now = self._clock.now()
        for queued in batch:
            if isinstance(error, AnswerLostError):
                queued.sent = True
            if queued.deadline is not None and now >= queued.deadline:
                self._abandon(queued)

    def _abandon(self, queued: _Queued) -> None:
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
    """Tell whether the answers hold whatever was written since."""
    return all(isinstance(answer, AlreadyCompleted) for answer in answers)
