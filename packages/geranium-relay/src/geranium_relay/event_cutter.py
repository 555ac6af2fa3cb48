"""Cuts a stream of server-sent events at whole events."""

import re

_END = re.compile(rb'\r?\n\r?\n')
_IDENTITY = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventCutter:
    """Gives whole events as they come and remembers the last one's id.

    A stream that breaks off may end inside an event; what has come of that
    is held back, so that another target can send the event whole.
    """

    def __init__(self) -> None:
        self._rest = b''
        self.last_identity: str | None = None

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes as read and return the whole events that they end."""
        data = self._rest + chunk
        ends = [found.end() for found in _END.finditer(data)]
        end = ends[-1] if ends else 0
        whole = data[:end]
        self._rest = data[end:]
        self._record_event_id(whole)
        return whole

    def take_rest(self) -> bytes:
        """Return what follows the last whole event, at a stream's end."""
        rest = self._rest
        self.drop_rest()
        return rest

    def drop_rest(self) -> None:
        """Forget an event that was cut off."""
        self._rest = b''

    def _record_event_id(self, whole: bytes) -> None:
        for found in _IDENTITY.finditer(whole):
            self.last_identity = found.group(1).decode('ascii', 'replace')
