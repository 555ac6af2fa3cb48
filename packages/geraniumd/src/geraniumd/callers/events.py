"""Parses an engine's server-sent events and checks ids and offsets."""

import dataclasses

_EVENT_END = b'\n\n'
_COMMENT = b':'
_DATA = b'data:'
_DONE = b'data: [DONE]'
_MAX_OFFSET_DIGITS = 18  # fits 64 bits
MAX_EVENT_BYTES = 262144  # an event contains a few tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """The complete events of one read, in order and without gaps.

    ``data`` is forwarded unchanged. ``next_offset`` is the offset after the
    last event. ``done`` is true if the events include ``[DONE]``.
    """

    data: bytes
    next_offset: int
    done: bool


class EventBuffer:
    """Splits a byte stream into events and drops those not expected.

    An event is accepted if it has the request's id and the next offset. Events
    of other requests, without an offset and at earlier offsets are dropped and
    counted. A skipped offset sets ``has_gap``, and no later event is accepted.
    Nor is one after an event with other lines than its id and data: an engine
    that breaks off inside an event may send an error response there.
    """

    def __init__(self, execution_id: str, next_offset: int = 0) -> None:
        self._prefix = f'id: {execution_id}:'.encode()
        self._rest = b''
        self.next_offset = next_offset
        self.dropped_count = 0
        self.has_gap = False
        self.last_payload = b''
        self._is_broken = False

    def begin(self) -> None:
        """Expect the stream of another engine at the next offset.

        What the engine before has sent of an incomplete event is dropped.
        """
        self._rest = b''
        self.has_gap = False
        self._is_broken = False

    @property
    def defect(self) -> str | None:
        """Why the stream can't be read on, ``None`` if it can."""
        if self.has_gap:
            return 'the stream skipped an offset'
        if self._is_broken:
            return 'bytes inside an event'
        if len(self._rest) > MAX_EVENT_BYTES:
            return 'event without end'
        return None

    def feed(self, chunk: bytes) -> Batch:
        """Add a chunk and return the events that it completes."""
        *events, rest = (self._rest + chunk).split(_EVENT_END)
        self._rest = rest
        accepted = []
        for event in events:
            if event.startswith(_COMMENT):
                continue
            if not self._accept(event):
                continue
            accepted.append(event)
            if event.endswith(_DONE):
                return self._batch(accepted, done=True)
        return self._batch(accepted, done=False)

    def _accept(self, event: bytes) -> bool:
        if self.has_gap or self._is_broken:
            return False
        if not event.startswith(self._prefix):
            self.dropped_count += 1
            return False
        header, _, payload = event.partition(b'\n')
        offset = _parse_offset(header[len(self._prefix) :])
        if offset is None or offset < self.next_offset:
            self.dropped_count += 1
            return False
        if offset > self.next_offset:
            self.has_gap = True
            return False
        if not _is_data(payload):
            self._is_broken = True
            return False
        self.next_offset += 1
        if not payload.endswith(_DONE):
            self.last_payload = payload
        return True

    def _batch(self, events: list[bytes], *, done: bool) -> Batch:
        joined = b''
        if events:
            joined = _EVENT_END.join(events) + _EVENT_END
        return Batch(joined, self.next_offset, done)


def _is_data(payload: bytes) -> bool:
    """Return whether the lines of an event after its id are data."""
    if b'\r' in payload:
        return False
    return all(line.startswith(_DATA) for line in payload.split(b'\n'))


def _parse_offset(digits: bytes) -> int | None:
    """Return the offset in an event's id, ``None`` if it is not a number."""
    if len(digits) > _MAX_OFFSET_DIGITS or not digits.isdigit():
        return None
    return int(digits)
