"""Tables that are read as they were some time ago."""

import bisect
import dataclasses
from collections.abc import Iterator
from typing import Generic, TypeAlias, TypeVar

RowT = TypeVar('RowT')

MAX_LAG_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry(Generic[RowT]):
    instant: float
    row: RowT | None


_History: TypeAlias = list[_Entry[RowT]]


class LaggedTable(Generic[RowT]):
    """Rows by name with their history.

    Entries may lie in the future: they show once their instant has come.
    Instants are monotonic seconds, at most ``MAX_LAG_S`` of them are kept.
    """

    def __init__(self) -> None:
        self._histories_by_name: dict[str, _History[RowT]] = {}

    def set_row(self, name: str, row: RowT | None, instant: float) -> None:
        """Let the row be this from the instant on, ``None`` for no row.

        What was planned for later is dropped.
        """
        history = self._histories_by_name.get(name, [])
        keep = bisect.bisect_left(history, instant, key=_instant_of)
        cutoff = instant - MAX_LAG_S
        old = bisect.bisect_right(history, cutoff, key=_instant_of)
        self._histories_by_name[name] = [
            *history[max(0, old - 1) : keep],
            _Entry(instant, row),
        ]

    def row(self, name: str, instant: float) -> RowT | None:
        """Return the row as it is at the instant."""
        history = self._histories_by_name.get(name, [])
        index = bisect.bisect_right(history, instant, key=_instant_of)
        return history[index - 1].row if index else None

    def rows(self, instant: float) -> Iterator[RowT]:
        """Yield all rows as they are at the instant, in order of entry."""
        for name in self._histories_by_name:
            row = self.row(name, instant)
            if row is not None:
                yield row


def _instant_of(entry: _Entry[RowT]) -> float:
    return entry.instant
