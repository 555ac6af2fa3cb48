"""What was read of a stream of events."""

import dataclasses
import json
from typing import Any


@dataclasses.dataclass(slots=True)
class StreamRecord:
    """The events of a completion in the order of their arrival.

    ``ids`` has one entry for each event and ``chunks`` one for each but the
    completion mark; ``comments`` counts the keep-alives.
    """

    status: int = 0
    was_reset: bool = False
    has_done_marker: bool = False
    comments: int = 0
    ids: list[str] = dataclasses.field(default_factory=list)
    chunks: list[dict[str, Any]] = dataclasses.field(default_factory=list)

    @property
    def is_complete(self) -> bool:
        """Whether the stream ended properly with its mark."""
        return self.has_done_marker and not self.was_reset

    @property
    def text(self) -> str:
        """The text of all tokens."""
        return ''.join(_text_of(chunk) for chunk in self.chunks)

    @property
    def usage(self) -> dict[str, int]:
        """The usage in the last event."""
        usage: dict[str, int] = self.chunks[-1]['usage']
        return usage

    def add_line(self, line: str) -> None:
        """Take in a line of the stream."""
        field, _, text = line.partition(': ')
        if line == 'data: [DONE]':
            self.has_done_marker = True
        elif field == 'data':
            self.chunks.append(json.loads(text))
        elif field == 'id':
            self.ids.append(text)
        elif line.startswith(':'):
            self.comments += 1


def _text_of(chunk: dict[str, Any]) -> str:
    choice = chunk['choices'][0]
    delta = choice.get('delta', {})
    text: str = choice.get('text') or delta.get('content', '')
    return text
