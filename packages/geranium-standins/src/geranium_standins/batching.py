"""Continuous batching: one task runs the engine's steps."""

import asyncio
import time
from collections.abc import Iterator

from .cache import KvMemory, Reservation
from .controls import Controls
from .faults import EngineFaults
from .sequence_table import SequenceTable
from .sequences import Sequence
from .settings import CRASH_STATUS, EngineSettings
from .state import EngineState
from .streams import StreamEnd

IDLE_POLL_S = 0.02
MAX_CATCH_UP_S = 0.05


class StepClock:
    """Paces steps without accumulating wake-up delays."""

    def __init__(self) -> None:
        self._ends_at = time.monotonic()

    async def wait_for_step_end(self, duration_s: float) -> None:
        """Sleep until the step ends, counted from the end of the last step.

        After a pause of more than ``MAX_CATCH_UP_S`` the step starts now.
        """
        now = time.monotonic()
        if now - self._ends_at > MAX_CATCH_UP_S:
            self._ends_at = now
        self._ends_at += duration_s
        await asyncio.sleep(max(0, self._ends_at - now))


class Batch:
    """Runs sequences in steps, limited by the KV memory.

    Prompts are prefilled by priority, then in the order of their start.
    """

    def __init__(
        self,
        settings: EngineSettings,
        state: EngineState,
        memory: KvMemory,
        controls: Controls[EngineFaults],
    ) -> None:
        self.sequence_table = SequenceTable()
        self._settings = settings
        self._state = state
        self._memory = memory
        self._controls = controls

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence.

        It supersedes a sequence with the same request id.
        """
        self.end(sequence.request_id, StreamEnd.SUPERSEDED)
        self.sequence_table.add(sequence)

    def end(self, request_id: str, end: StreamEnd) -> bool:
        """End the sequence of a request and return whether it existed."""
        sequence = self.sequence_table.find(request_id)
        if sequence is None:
            return False
        self.end_sequence(sequence, end)
        return True

    def end_sequence(self, sequence: Sequence, end: StreamEnd) -> None:
        """End a sequence; does nothing if it has ended."""
        if sequence.ended.done():
            return
        sequence.ended.set_result(end)
        self.sequence_table.remove(sequence)
        if sequence.reservation is None:
            return
        if not sequence.exports_kv or end is not StreamEnd.COMPLETED:
            self._memory.release(sequence.reservation)

    async def run(self) -> None:
        """Run steps until cancelled."""
        clock = StepClock()
        while True:
            await self.sequence_table.wait_for_work()
            self._admit()
            chunks = self._plan_prefill()
            decoding = tuple(self._plan_decoding())
            duration_s = IDLE_POLL_S
            if chunks or decoding:
                duration_s = self._settings.step_model.step_s(
                    self._state.role,
                    len(decoding),
                    sum(chunks.values()),
                )
            await clock.wait_for_step_end(duration_s)
            self._prefill(chunks)
            for sequence in decoding:
                self._decode(sequence)

    def _admit(self) -> None:
        while len(self.sequence_table.running) < self._settings.max_running:
            sequence = self.sequence_table.next_waiting()
            if sequence is None:
                return
            reservation = self._reserve(sequence)
            if reservation is None:
                self._release_waiting_imports()
                return
            self.sequence_table.start_next()
            sequence.start(reservation)
            self._crash_if_marked(sequence)

    def _reserve(self, sequence: Sequence) -> Reservation | None:
        completion = sequence.completion
        imported = sequence.reservation
        if imported is None:
            return self._memory.reserve(completion.prefixes, completion.pieces)
        if self._memory.extend(imported, completion.pieces):
            return imported
        return None

    def _release_waiting_imports(self) -> None:
        # Waiting imports could hold all memory and deadlock.
        if self.sequence_table.running:
            return
        for sequence in self.sequence_table.waiting():
            if sequence.reservation is not None:
                self._memory.release(sequence.reservation)
                sequence.reservation = None
                sequence.is_prefilled = False

    def _crash_if_marked(self, sequence: Sequence) -> None:
        marker = self._controls.faults.crash_marker
        if marker and marker in sequence.completion.prompt:
            self._settings.exit_process(CRASH_STATUS)

    def _plan_prefill(self) -> dict[Sequence, int]:
        budget = self._settings.step_model.chunk_tokens(self._state.role)
        pending = [
            sequence
            for sequence in self.sequence_table.running.values()
            if sequence.prefill_left
        ]
        pending.sort(key=_priority_of)
        chunks: dict[Sequence, int] = {}
        for sequence in pending:
            if not budget:
                break
            chunks[sequence] = min(budget, sequence.prefill_left)
            budget -= chunks[sequence]
        return chunks

    def _plan_decoding(self) -> Iterator[Sequence]:
        for sequence in self.sequence_table.running.values():
            if not sequence.prefill_left and not sequence.is_stalled:
                yield sequence

    def _prefill(self, chunks: dict[Sequence, int]) -> None:
        for sequence, tokens in chunks.items():
            sequence.prefill_left -= tokens
            if sequence.prefill_left or sequence.ended.done():
                continue
            if sequence.reservation is not None:
                self._memory.store(sequence.reservation)
            self._decode(sequence)

    def _decode(self, sequence: Sequence) -> None:
        if sequence.ended.done() or sequence.is_stalled:
            return
        end = sequence.decode()
        if end is not None:
            self.end_sequence(sequence, end)


def _priority_of(sequence: Sequence) -> int:
    return sequence.completion.priority
