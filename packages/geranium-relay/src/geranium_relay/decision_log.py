"""One structured line for each decision and each change of a belief.

The volume is bounded by kind of line; what is left out is counted and told.
Nothing here waits: lines that the reader of the pipe doesn't take in time
are dropped and counted.
"""

import asyncio
import collections
import dataclasses
import os
from collections.abc import Callable
from typing import Any

import structlog

FLUSH_S = 0.05  # lines of so long are written by one call


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Bounds on the log.

    Args:
        lines_per_s: Lines of one kind a second, in the long run.
        burst: Lines of one kind at once.
        buffered_lines: Lines kept for a reader that lags.
    """

    lines_per_s: float = 30
    burst: float = 120
    buffered_lines: int = 2000


@dataclasses.dataclass(slots=True)
class _Allowance:
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
        """Queue a line; with a full queue it is dropped and counted."""
        if len(self._lines) >= self._limit:
            self.dropped += 1
            return
        self._lines.append(f'{line}\n'.encode(errors='replace'))
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_later(FLUSH_S, self.flush)

    def flush(self) -> None:
        """Write what the pipe takes now; the rest stays queued."""
        self._scheduled = False
        data = b''.join(self._lines)
        self._lines.clear()
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone: there is nobody to tell.
            return
        if written < len(data):
            self._lines.append(data[written:])


class DecisionLog:
    """Writes lines of JSON with the host, the instant and the inputs."""

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
        self._allowance_by_event: dict[str, _Allowance] = {}
        self._logger = structlog.wrap_logger(
            _LineSink(write),
            processors=[
                structlog.processors.TimeStamper(fmt='iso', utc=True),
                structlog.processors.JSONRenderer(),
            ],
            wrapper_class=structlog.BoundLogger,
            cache_logger_on_first_use=True,
        ).bind(**bound)

    def record(self, event: str, **inputs: Any) -> None:
        """Write one line, unless its kind has used up its volume."""
        allowance = self._fill(event)
        if allowance.lines < 1:
            allowance.left_out += 1
            return
        allowance.lines -= 1
        if allowance.left_out:
            inputs['left_out'] = allowance.left_out
            allowance.left_out = 0
        self._logger.msg(event, **inputs)

    def _fill(self, event: str) -> _Allowance:
        settings = self._settings
        now = self._clock()
        allowance = self._allowance_by_event.get(event)
        if allowance is None:
            allowance = _Allowance(settings.burst, now)
            self._allowance_by_event[event] = allowance
        passed_s = max(now - allowance.filled_at, 0)
        allowance.lines = min(
            allowance.lines + passed_s * settings.lines_per_s,
            settings.burst,
        )
        allowance.filled_at = now
        return allowance


class _LineSink:
    """What structlog hands its rendered lines to."""

    def __init__(self, write: Callable[[str], None]) -> None:
        self.msg = write
