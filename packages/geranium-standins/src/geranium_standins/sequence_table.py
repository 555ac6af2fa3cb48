"""Running and waiting sequences of an engine."""

import asyncio
import heapq
import itertools
from collections.abc import Iterator

from .sequences import Sequence


class SequenceTable:
    """Running sequences by request id, and a queue of waiting sequences.

    The queue is ordered by priority, then by arrival.
    """

    def __init__(self) -> None:
        self.running: dict[str, Sequence] = {}
        self._queue: list[tuple[int, int, Sequence]] = []
        self._arrival_numbers = itertools.count()
        self._has_work = asyncio.Event()
        self._is_idle = asyncio.Event()
        self._is_idle.set()

    @property
    def waiting_count(self) -> int:
        """Number of waiting sequences."""
        return len(self._queue)

    @property
    def prefill_tokens_waiting(self) -> int:
        """Number of prompt tokens still to prefill."""
        queued = sum(
            sequence.completion.prompt_tokens
            for sequence in self.waiting()
            if not sequence.is_prefilled
        )
        return queued + sum(
            sequence.prefill_left for sequence in self.running.values()
        )

    def waiting(self) -> Iterator[Sequence]:
        """Yield the waiting sequences in no particular order."""
        return (sequence for _, _, sequence in self._queue)

    def sequences(self) -> tuple[Sequence, ...]:
        """Return all running and waiting sequences."""
        return (*self.running.values(), *self.waiting())

    def find(self, request_id: str) -> Sequence | None:
        """Return the sequence of a request, ``None`` if there is none."""
        for sequence in self.sequences():
            if sequence.request_id == request_id:
                return sequence
        return None

    def add(self, sequence: Sequence) -> None:
        """Add a sequence to the waiting queue."""
        priority = sequence.completion.priority
        entry = (priority, next(self._arrival_numbers), sequence)
        heapq.heappush(self._queue, entry)
        self._is_idle.clear()
        self._has_work.set()

    def next_waiting(self) -> Sequence | None:
        """Return the head of the waiting queue, ``None`` if it is empty."""
        return self._queue[0][-1] if self._queue else None

    def start_next(self) -> None:
        """Move the head of the waiting queue to the running sequences."""
        _, _, sequence = heapq.heappop(self._queue)
        self.running[sequence.request_id] = sequence

    def remove(self, sequence: Sequence) -> None:
        """Remove a running or waiting sequence."""
        if self.running.get(sequence.request_id) is sequence:
            self.running.pop(sequence.request_id)
        else:
            self._queue = [
                entry for entry in self._queue if entry[-1] is not sequence
            ]
            heapq.heapify(self._queue)
        if not self.running and not self._queue:
            self._has_work.clear()
            self._is_idle.set()

    async def wait_for_work(self) -> None:
        """Return once a sequence is running or waiting."""
        await self._has_work.wait()

    async def wait_until_idle(self) -> None:
        """Return once no sequence is running or waiting."""
        await self._is_idle.wait()
