"""Sequences processed by an engine."""

import asyncio
import dataclasses

from .cache import Reservation
from .completions import Completion
from .events import EventBuilder
from .settings import TOKENS_PER_PIECE
from .streams import EventStream, StreamEnd


@dataclasses.dataclass(eq=False, slots=True)
class Sequence:
    """Execution state of a completion.

    ``stream`` is ``None`` for a prefill-only sequence. ``ended`` resolves when
    the engine has finished the sequence. ``is_prefilled`` is true if the
    reservation holds the KV cache of the whole prompt. With ``exports_kv`` the
    reservation is kept on completion, for transfer to another engine.
    """

    completion: Completion
    stream: EventStream | None
    ended: asyncio.Future[StreamEnd]
    reservation: Reservation | None = None
    is_prefilled: bool = False
    prefill_left: int = 0
    next_offset: int = 0
    cached_tokens: int = 0
    exports_kv: bool = False
    events: EventBuilder = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.events = EventBuilder(self.completion)
        self.next_offset = self.completion.offset

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.completion.request_id

    @property
    def is_stalled(self) -> bool:
        """Whether the stall fault holds back the stream."""
        return self.stream is not None and self.stream.is_stalled

    def start(self, reservation: Reservation) -> None:
        """Assign the reservation and compute the remaining prefill."""
        prompt_tokens = self.completion.prompt_tokens
        cached = reservation.hits * TOKENS_PER_PIECE
        if self.is_prefilled:
            cached = prompt_tokens
        self.reservation = reservation
        self.cached_tokens = min(cached, prompt_tokens)
        left = prompt_tokens + self.completion.offset - cached
        self.prefill_left = max(int(not self.is_prefilled), left)

    def decode(self) -> StreamEnd | None:
        """Send the next token; return how the stream ended, if it did."""
        stream = self.stream
        if stream is None:
            return StreamEnd.COMPLETED
        if stream.must_cut:
            return StreamEnd.CUT
        length = self.completion.length
        if self.next_offset < length:
            stream.send_token(self.events.token(self.next_offset))
            self.next_offset += 1
        if self.next_offset < length or not stream.may_complete:
            return None
        if self.completion.offset <= length:
            stream.send(self.events.finish(self.cached_tokens))
        stream.send(self.events.done())
        return StreamEnd.COMPLETED
