"""A structured log of decisions and of changes of observed state.

Lines are rate limited per event. Suppressed lines are counted, and the count
is logged with the next line. Writing never blocks: lines that the reader of
the pipe does not read in time are dropped and counted.
"""

import asyncio
import collections
import dataclasses
import os
from collections.abc import Callable
from typing import Any

import structlog

FLUSH_INTERVAL_S = 0.05  # lines within it are written by one call


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Limits of the log.

    Args:
        lines_per_s: Sustained lines per second of one event.
        burst: Lines of one event at once.
        buffered_lines: Lines buffered for a slow reader.
    """

    lines_per_s: float = 30
    burst: float = 120
    buffered_lines: int = 2000


@dataclasses.dataclass(slots=True)
class _TokenBucket:
    lines: float
    filled_at: float
    left_out: int = 0


class PipeWriter:
    """Writes lines to a file descriptor from the event loop."""

    def __init__(self, descriptor: int, settings: LogSettings) -> None:
        self._descriptor = descriptor
        self._limit = settings.buffered_lines
        self._lines = collections.deque[bytes]()
        self._scheduled = False
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Queue a line, or drop and count it if the queue is full."""
        if len(self._lines) >= self._limit:
            self.dropped += 1
            return
        self._lines.append(f'{line}\n'.encode(errors='replace'))
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_later(FLUSH_INTERVAL_S, self.flush)

    def flush(self) -> None:
        """Write as much as the pipe accepts now; the rest stays queued."""
        self._scheduled = False
        data = b''.join(self._lines)
        self._lines.clear()
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader closed the pipe, so the error can't be logged.
            return
        if written < len(data):
            self._lines.append(data[written:])


class DecisionLog:
    """Writes JSON lines with a timestamp, bound fields and the inputs."""

    def __init__(
        self,
        settings: LogSettings,
        write: Callable[[str], None],
        clock: Callable[[], float],
        **bound: Any,
    ) -> None:
        self._settings = settings
        self._write = write
        self._clock = clock
        self._bucket_by_event: dict[str, _TokenBucket] = {}
        self._logger = structlog.wrap_logger(
            _LineLogger(write),
            processors=[
                structlog.processors.TimeStamper(fmt='iso', utc=True),
                structlog.processors.JSONRenderer(),
            ],
            wrapper_class=structlog.BoundLogger,
            cache_logger_on_first_use=True,
        ).bind(**bound)

    def record(self, event: str, **inputs: Any) -> None:
        """Write one line, unless its event exceeds the rate limit."""
        bucket = self._refill(event)
        if bucket.lines < 1:
            bucket.left_out += 1
            return
        bucket.lines -= 1
        if bucket.left_out:
            inputs['left_out'] = bucket.left_out
            bucket.left_out = 0
        self._logger.msg(event, **inputs)

    def _refill(self, event: str) -> _TokenBucket:
        settings = self._settings
        now = self._clock()
        bucket = self._bucket_by_event.get(event)
        if bucket is None:
            bucket = _TokenBucket(settings.burst, now)
            self._bucket_by_event[event] = bucket
        elapsed_s = max(now - bucket.filled_at, 0)
        bucket.lines = min(
            bucket.lines + elapsed_s * settings.lines_per_s,
            settings.burst,
        )
        bucket.filled_at = now
        return bucket


class _LineLogger:
    """The logger to which structlog passes its rendered lines."""

    def __init__(self, write: Callable[[str], None]) -> None:
        self.msg = write
