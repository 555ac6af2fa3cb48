"""Splits a byte stream into complete server-sent events."""

import re

from .call_errors import AnswerLostError

_END = re.compile(rb'\r?\n\r?\n')
_IDENTITY = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)
_FIELD = re.compile(rb'(?:(?:id|data|event|retry)?:|(?:id|data|event|retry)?$)')
_OWN_FIELD = re.compile(rb'[a-z][a-z-]*:')
_NUMBER = re.compile('[0-9]{1,18}')
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
    """Returns the complete events of one run in order.

    A stream may be cut inside an event. The incomplete event is buffered
    rather than forwarded, so that another target can send it in full. What
    follows a cut may be no event at all, such as the head of an error
    response, or events of another run.

    ``last_event_id`` is the id of the last event that was returned.
    """

    def __init__(self) -> None:
        self._rest = b''
        self._after: str | None = None
        self._is_continuation = False
        self.last_event_id: str | None = None
        self._defect: str | None = None

    def begin(self, resume_after: str | None) -> None:
        """Expect the stream of another target.

        Args:
            resume_after: Id of the event that precedes its first one; ``None``
                if it starts with the first event of all.
        """
        self._rest = b''
        self._after = resume_after
        self._is_continuation = resume_after is not None
        self._defect = None

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes and return the events that are now complete."""
        data = self._rest + chunk
        end = 0
        for found in _END.finditer(data):
            self._defect = self._find_defect(data[end : found.end()])
            if self._defect is not None:
                break
            end = found.end()
        self._rest = data[end:]
        return data[:end]

    def check(self) -> None:
        """Check that the stream can be read on.

        Raises:
            AnswerLostError: If what follows the returned events is no event of
                the run.
        """
        if self._defect is not None:
            raise AnswerLostError(self._defect)

    def check_continued(self) -> None:
        """Check that an event has followed those of an earlier target.

        Raises:
            AnswerLostError: If there was none.
        """
        if self._is_continuation:
            raise AnswerLostError('no event continues the stream')

    def drop_rest(self) -> None:
        """Discard an incomplete event."""
        self._rest = b''

    def _find_defect(self, event: bytes) -> str | None:
        """Return why an event can't follow; record its id if it can."""
        if not _is_event(event):
            return 'bytes that are no event'
        identities = _IDENTITY.findall(event)
        if not identities:
            if self._is_continuation and not _is_comment(event):
                return 'an event without an id does not continue a stream'
            return None
        identity = identities[-1].decode('ascii', 'replace')
        if not _may_follow(identity, self._after):
            return f'event {identity} does not follow {self._after}'
        self._is_continuation = False
        self._after = identity
        self.last_event_id = identity
        return None


def _is_event(event: bytes) -> bool:
    """Return whether bytes up to an empty line are an event.

    Targets may put a field of their own into the first line, in lower case.
    """
    if b'\r' in event and b'\n' in event.replace(b'\r\n', b''):
        return False
    first, *others = event.strip(b'\r\n').splitlines() or [b'']
    if not (_FIELD.match(first) or _OWN_FIELD.match(first)):
        return False
    return all(_FIELD.match(line) for line in others)


def _is_comment(event: bytes) -> bool:
    lines = event.strip(b'\r\n').splitlines()
    return all(line.startswith(b':') for line in lines)


def _may_follow(identity: str, earlier: str | None) -> bool:
    """Return whether ids increase, as far as they can be compared."""
    if earlier is None:
        return True
    if _NUMBER.fullmatch(identity) and _NUMBER.fullmatch(earlier):
        return int(identity) > int(earlier)
    return identity != earlier


def _last_end(data: bytes) -> int | None:
    """Return the position after the last complete event, if there is one."""
    ends = [
        data.rfind(mark) + len(mark) for mark in _EVENT_ENDS if mark in data
    ]
    return max(ends, default=None)
