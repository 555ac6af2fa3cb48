"""The sequences that an engine runs and those that wait."""

import asyncio
import heapq
import itertools
from collections.abc import Iterator

from .sequences import Sequence


class SequenceTable:
    """Running sequences by request id, and a queue of waiting ones.

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
        """How many sequences wait."""
        return len(self._queue)

    @property
    def prefill_tokens_waiting(self) -> int:
        """How many tokens of prompts are still to be read."""
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
        """Return all sequences that run or wait."""
        return (*self.running.values(), *self.waiting())

    def find(self, request_id: str) -> Sequence | None:
        """Return the sequence of a request."""
        for sequence in self.sequences():
            if sequence.request_id == request_id:
                return sequence
        return None

    def add(self, sequence: Sequence) -> None:
        """Let a sequence wait."""
        priority = sequence.completion.priority
        entry = (priority, next(self._arrival_numbers), sequence)
        heapq.heappush(self._queue, entry)
        self._is_idle.clear()
        self._has_work.set()

    def next_waiting(self) -> Sequence | None:
        """Return the sequence whose turn it is."""
        return self._queue[0][-1] if self._queue else None

    def start_next(self) -> None:
        """Move the sequence whose turn it is to the running ones."""
        _, _, sequence = heapq.heappop(self._queue)
        self.running[sequence.request_id] = sequence

    def remove(self, sequence: Sequence) -> None:
        """Drop a sequence."""
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
        """Return once something runs or waits."""
        await self._has_work.wait()

    async def wait_until_idle(self) -> None:
        """Return once nothing runs or waits."""
        await self._is_idle.wait()
