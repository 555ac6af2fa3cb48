"""Recorded events of a completion stream."""

import dataclasses
import json
from typing import Any


@dataclasses.dataclass(slots=True)
class StreamRecord:
    """Events of a completion in the order received.

    ``ids`` has one entry per event, and ``chunks`` one per event except the
    final ``[DONE]`` marker. ``comments`` counts keep-alive comments.
    """

    status: int = 0
    was_reset: bool = False
    has_done_marker: bool = False
    comments: int = 0
    ids: list[str] = dataclasses.field(default_factory=list)
    chunks: list[dict[str, Any]] = dataclasses.field(default_factory=list)

    @property
    def is_complete(self) -> bool:
        """Whether the stream ended with its ``[DONE]`` marker and no reset."""
        return self.has_done_marker and not self.was_reset

    @property
    def text(self) -> str:
        """Concatenated text of all tokens."""
        return ''.join(_text_of(chunk) for chunk in self.chunks)

    @property
    def usage(self) -> dict[str, int]:
        """Token usage from the last event."""
        usage: dict[str, int] = self.chunks[-1]['usage']
        return usage

    def add_line(self, line: str) -> None:
        """Parse a line of the stream and record it."""
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
