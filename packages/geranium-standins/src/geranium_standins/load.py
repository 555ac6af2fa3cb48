"""Load reports with an adjustable lag."""

import collections
import dataclasses
import time
import uuid

from .cache import KvMemory
from .controls import Controls
from .faults import EngineFaults
from .sequence_table import SequenceTable
from .settings import MS_PER_S
from .state import EngineState

MAX_SAMPLES = 1200


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """Load of an engine, with the field names of the load report."""

    engine: str
    instance: str
    model: str
    version: str
    role: str
    state: str
    running: int
    waiting: int
    kv_pieces_used: int
    kv_pieces: int
    prefill_tokens_waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class _TimedSample:
    sampled_at: float
    sample: LoadSample


class LoadReporter:
    """Records load samples and reports them with the configured lag."""

    def __init__(
        self,
        engine: str,
        state: EngineState,
        sequence_table: SequenceTable,
        memory: KvMemory,
    ) -> None:
        self._engine = engine
        self._instance = uuid.uuid4().hex
        self._state = state
        self._roster = sequence_table
        self._memory = memory
        self._samples: collections.deque[_TimedSample] = collections.deque(
            maxlen=MAX_SAMPLES,
        )

    def record_sample(self) -> None:
        """Record a sample of the current load."""
        self._samples.append(_TimedSample(time.monotonic(), self._read()))

    def report(self, controls: Controls[EngineFaults]) -> dict[str, object]:
        """Return the newest sample that is at least as old as the lag.

        Without a lag it takes a new sample. If no sample is old enough it
        returns the oldest.
        """
        lag_ms = controls.faults.load_lag_ms
        if not lag_ms or not self._samples:
            self.record_sample()
        now = time.monotonic()
        cutoff = now - lag_ms / MS_PER_S
        timed = next(
            (
                candidate
                for candidate in reversed(self._samples)
                if candidate.sampled_at <= cutoff
            ),
            self._samples[0],
        )
        report = dataclasses.asdict(timed.sample)
        report['sampled_ms_ago'] = round((now - timed.sampled_at) * MS_PER_S)
        return report

    def _read(self) -> LoadSample:
        state = self._state
        return LoadSample(
            engine=self._engine,
            instance=self._instance,
            model=state.model,
            version=state.version,
            role=state.role.value,
            state=state.label,
            running=len(self._roster.running),
            waiting=self._roster.waiting_count,
            kv_pieces_used=self._memory.used,
            kv_pieces=self._memory.pieces,
            prefill_tokens_waiting=self._roster.prefill_tokens_waiting,
        )
