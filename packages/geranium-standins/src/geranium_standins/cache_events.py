"""Prefix cache events, published with lag and gaps."""

import asyncio
import collections
import dataclasses
import itertools
import random
import time

from .controls import Controls
from .faults import EngineFaults
from .settings import MS_PER_S

MAX_EVENTS = 20_000
POLL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Storage or eviction of a prefix, with its monotonic time."""

    seq: int
    kind: str
    prefix: str
    happened_at: float


class CacheEventFeed:
    """Most recent cache events of an engine.

    The ``cache_event_gap`` fault drops a fraction of them, which leaves gaps
    in ``seq``.
    """

    def __init__(
        self,
        controls: Controls[EngineFaults],
        random_source: random.Random,
    ) -> None:
        self._controls = controls
        self._random = random_source
        self._seq = 0
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_EVENTS,
        )

    def add(self, kind: str, prefix: str) -> None:
        """Record an event; prefixes without a published hash are ignored."""
        if not prefix.isdecimal():
            return
        self._seq += 1
        if self._random.random() < self._controls.faults.cache_event_gap:
            return
        event = CacheEvent(self._seq, kind, prefix, time.monotonic())
        self._events.append(event)

    def after(self, seq: int) -> tuple[CacheEvent, ...]:
        """Return the events after ``seq`` that are visible despite the lag."""
        lag_s = self._controls.faults.cache_event_lag_ms / MS_PER_S
        cutoff = time.monotonic() - lag_s
        recent = itertools.takewhile(
            lambda event: event.seq > seq,
            reversed(self._events),
        )
        visible = [event for event in recent if event.happened_at <= cutoff]
        return tuple(reversed(visible))

    async def wait_after(
        self,
        seq: int,
        deadline: float,
    ) -> tuple[CacheEvent, ...]:
        """Wait for events after ``seq``; return none only at the deadline."""
        events = self.after(seq)
        while not events and time.monotonic() < deadline:
            await asyncio.sleep(POLL_S)
            events = self.after(seq)
        return events
