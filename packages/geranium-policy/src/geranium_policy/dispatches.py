"""Dispatches: what one daemon has at an engine, also since a report."""

import collections
import dataclasses

MAX_ENDED_DISPATCHES = 4096


@dataclasses.dataclass(slots=True)
class InFlight:
    """Requests at an engine that have not ended.

    ``prefill_tokens`` counts the uncached prompt tokens of those that have
    not had their first token yet, ``kv_pieces`` the memory that all of them
    are expected to take.
    """

    requests: int = 0
    prefill_tokens: int = 0
    kv_pieces: int = 0


@dataclasses.dataclass(slots=True)
class Dispatch:
    """A request that was sent to an engine at ``sent_at``."""

    sent_at: float
    prefill_tokens: int
    kv_pieces: int
    reading: bool = True
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Ended:
    sent_at: float
    ended_at: float
    kv_pieces: int


class DispatchLog:
    """Counts own dispatches to one engine, in constant time each.

    ``local`` is everything in flight. ``since`` is the part of it that was
    sent after the last report's sample, which the report can't contain.
    ``ended`` is what the report contains although it has ended since.
    """

    def __init__(self) -> None:
        self.local = InFlight()
        self.since = InFlight()
        self.ended = InFlight()
        self._sampled_at = float('-inf')
        self._dispatches_by_id: dict[str, Dispatch] = {}
        self._late: collections.deque[Dispatch] = collections.deque()
        self._ended: collections.deque[_Ended] = collections.deque(
            maxlen=MAX_ENDED_DISPATCHES,
        )

    def add(self, request_id: str, dispatch: Dispatch) -> None:
        """Count a request as sent."""
        self._dispatches_by_id[request_id] = dispatch
        while self._late and self._late[0].ended:
            self._late.popleft()
        self._late.append(dispatch)
        for count in (self.local, self.since):
            count.requests += 1
            count.prefill_tokens += dispatch.prefill_tokens
            count.kv_pieces += dispatch.kv_pieces

    def record_first_token(self, request_id: str) -> None:
        """Count the request's prompt as read."""
        dispatch = self._dispatches_by_id.get(request_id)
        if dispatch is None or not dispatch.reading:
            return
        dispatch.reading = False
        self.local.prefill_tokens -= dispatch.prefill_tokens
        if dispatch.sent_at > self._sampled_at:
            self.since.prefill_tokens -= dispatch.prefill_tokens

    def end(self, request_id: str, now: float) -> None:
        """Count the request as ended; an unknown one is passed over."""
        self.record_first_token(request_id)
        dispatch = self._dispatches_by_id.pop(request_id, None)
        if dispatch is None:
            return
        dispatch.ended = True
        late = dispatch.sent_at > self._sampled_at
        for count in (self.local, self.since) if late else (self.local,):
            count.requests -= 1
            count.kv_pieces -= dispatch.kv_pieces
        if not late:
            self._add_ended(dispatch.kv_pieces)
        self._ended.append(_Ended(dispatch.sent_at, now, dispatch.kv_pieces))

    def restart(self, sampled_at: float) -> None:
        """Count anew from the sample of a newer report."""
        self._sampled_at = sampled_at
        self._drop_late()
        while self._ended and self._ended[0].ended_at <= sampled_at:
            self._ended.popleft()
        self.ended = InFlight()
        for ended in self._ended:
            if ended.sent_at <= sampled_at:
                self._add_ended(ended.kv_pieces)

    def _drop_late(self) -> None:
        while self._late and self._late[0].sent_at <= self._sampled_at:
            dispatch = self._late.popleft()
            if not dispatch.ended:
                self._subtract_late(dispatch)

    def _subtract_late(self, dispatch: Dispatch) -> None:
        self.since.requests -= 1
        self.since.kv_pieces -= dispatch.kv_pieces
        if dispatch.reading:
            self.since.prefill_tokens -= dispatch.prefill_tokens

    def _add_ended(self, kv_pieces: int) -> None:
        self.ended.requests += 1
        self.ended.kv_pieces += kv_pieces
