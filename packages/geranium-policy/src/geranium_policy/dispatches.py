"""A daemon's requests at an engine, in total and relative to a report."""

import collections
import dataclasses

MAX_ENDED_DISPATCHES = 4096


@dataclasses.dataclass(slots=True)
class InFlight:
    """Counts of requests in flight at an engine.

    ``prefill_tokens`` is the number of uncached prompt tokens of requests
    without a first token. ``kv_pieces`` is the expected KV memory of all of
    them.
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
    prefilling: bool = True
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Ended:
    sent_at: float
    ended_at: float
    kv_pieces: int


class DispatchLog:
    """Counts this daemon's dispatches to one engine.

    Each dispatch takes amortised constant time.

    ``local`` counts all requests in flight. ``unreported`` counts those sent
    after the last report was sampled, which the report can't contain.
    ``ended`` counts requests in the report that have ended since.
    """

    def __init__(self) -> None:
        self.local = InFlight()
        self.unreported = InFlight()
        self.ended = InFlight()
        self._sampled_at = float('-inf')
        self._dispatches_by_id: dict[str, Dispatch] = {}
        self._unreported_dispatches: collections.deque[Dispatch] = (
            collections.deque()
        )
        self._ended: collections.deque[_Ended] = collections.deque(
            maxlen=MAX_ENDED_DISPATCHES,
        )

    def add(self, request_id: str, dispatch: Dispatch) -> None:
        """Record a request as sent."""
        self._dispatches_by_id[request_id] = dispatch
        while (
            self._unreported_dispatches and self._unreported_dispatches[0].ended
        ):
            self._unreported_dispatches.popleft()
        self._unreported_dispatches.append(dispatch)
        for count in (self.local, self.unreported):
            count.requests += 1
            count.prefill_tokens += dispatch.prefill_tokens
            count.kv_pieces += dispatch.kv_pieces

    def record_first_token(self, request_id: str) -> None:
        """Record the end of the request's prefill."""
        dispatch = self._dispatches_by_id.get(request_id)
        if dispatch is None or not dispatch.prefilling:
            return
        dispatch.prefilling = False
        self.local.prefill_tokens -= dispatch.prefill_tokens
        if dispatch.sent_at > self._sampled_at:
            self.unreported.prefill_tokens -= dispatch.prefill_tokens

    def end(self, request_id: str, now: float) -> None:
        """Record the end of the request; unknown requests are ignored."""
        self.record_first_token(request_id)
        dispatch = self._dispatches_by_id.pop(request_id, None)
        if dispatch is None:
            return
        dispatch.ended = True
        late = dispatch.sent_at > self._sampled_at
        for count in (self.local, self.unreported) if late else (self.local,):
            count.requests -= 1
            count.kv_pieces -= dispatch.kv_pieces
        if not late:
            self._add_ended(dispatch.kv_pieces)
        self._ended.append(_Ended(dispatch.sent_at, now, dispatch.kv_pieces))

    def rebase(self, sampled_at: float) -> None:
        """Recompute the counts relative to the sample of a newer report."""
        self._sampled_at = sampled_at
        self._drop_reported()
        while self._ended and self._ended[0].ended_at <= sampled_at:
            self._ended.popleft()
        self.ended = InFlight()
        for ended in self._ended:
            if ended.sent_at <= sampled_at:
                self._add_ended(ended.kv_pieces)

    def _drop_reported(self) -> None:
        while (
            self._unreported_dispatches
            and self._unreported_dispatches[0].sent_at <= self._sampled_at
        ):
            dispatch = self._unreported_dispatches.popleft()
            if not dispatch.ended:
                self._subtract_unreported(dispatch)

    def _subtract_unreported(self, dispatch: Dispatch) -> None:
        self.unreported.requests -= 1
        self.unreported.kv_pieces -= dispatch.kv_pieces
        if dispatch.prefilling:
            self.unreported.prefill_tokens -= dispatch.prefill_tokens

    def _add_ended(self, kv_pieces: int) -> None:
        self.ended.requests += 1
        self.ended.kv_pieces += kv_pieces
