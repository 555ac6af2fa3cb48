"""Splits a byte stream into complete server-sent events."""

import re

_END = re.compile(rb'\r?\n\r?\n')
_IDENTITY = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)
_EVENT_ENDS = (b'\n\n', b'\n\r\n')
_LONGEST_END_BYTES = 3
MAX_EVENT_BYTES = 262144  # an event contains a few tokens


class StreamTail:
    """Tells whether a byte stream ends with a complete event.

    ``event_bytes`` is the size of an event that is not complete yet.
    """

    def __init__(self) -> None:
        self.event_bytes = 0
        self._last_bytes = b''

    @property
    def is_inside_event(self) -> bool:
        """Whether the received bytes end inside an event.

        Also true if nothing has been received.
        """
        return not self._last_bytes.endswith(_EVENT_ENDS)

    def feed(self, chunk: bytes) -> None:
        """Add received bytes."""
        data = self._last_bytes + chunk
        end = _last_end(data)
        if end is None:
            self.event_bytes += len(chunk)
        else:
            self.event_bytes = len(data) - end
        self._last_bytes = data[-_LONGEST_END_BYTES:]


class EventFramer:
    """Returns complete events as they arrive and keeps the last event's id.

    A stream may be cut inside an event. The incomplete event is buffered
    rather than forwarded, so that another target can send it in full.
    """

    def __init__(self) -> None:
        self._rest = b''
        self.last_event_id: str | None = None

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes and return the events that are now complete."""
        data = self._rest + chunk
        ends = [found.end() for found in _END.finditer(data)]
        end = ends[-1] if ends else 0
        whole = data[:end]
        self._rest = data[end:]
        self._record_event_id(whole)
        return whole

    def drop_rest(self) -> None:
        """Discard an incomplete event."""
        self._rest = b''

    def _record_event_id(self, whole: bytes) -> None:
        for found in _IDENTITY.finditer(whole):
            self.last_event_id = found.group(1).decode('ascii', 'replace')


def _last_end(data: bytes) -> int | None:
    """Return the position after the last complete event, if there is one."""
    ends = [
        data.rfind(mark) + len(mark) for mark in _EVENT_ENDS if mark in data
    ]
    return max(ends, default=None)
