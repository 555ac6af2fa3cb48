"""Tables that can be read as of an earlier time."""

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

    Entries may lie in the future and become visible at their instant.
    Instants are monotonic times in seconds. History is kept for ``MAX_LAG_S``.
    """

    def __init__(self) -> None:
        self._histories_by_name: dict[str, _History[RowT]] = {}

    def set_row(self, name: str, row: RowT | None, instant: float) -> None:
        """Set the row from the instant on; ``None`` removes it.

        Entries at or after the instant are discarded.
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
        """Return the row as of the instant, ``None`` if there is none."""
        history = self._histories_by_name.get(name, [])
        index = bisect.bisect_right(history, instant, key=_instant_of)
        return history[index - 1].row if index else None

    def rows(self, instant: float) -> Iterator[RowT]:
        """Yield all rows as of the instant, in insertion order."""
        for name in self._histories_by_name:
            row = self.row(name, instant)
            if row is not None:
                yield row


def _instant_of(entry: _Entry[RowT]) -> float:
    return entry.instant
