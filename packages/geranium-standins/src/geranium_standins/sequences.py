"""Completions on their way through an engine."""

import asyncio
import dataclasses

from .cache import Reservation
from .completions import Completion
from .events import EventBuilder
from .settings import TOKENS_PER_PIECE
from .streams import EventStream, StreamEnd


@dataclasses.dataclass(eq=False, slots=True)
class Sequence:
    """A completion on its way through an engine.

    ``stream`` is ``None`` for one whose prompt alone is read. ``ended`` is
    set when the engine is done with it. ``is_prefilled`` says that the
    reservation holds the KV cache of the whole prompt. ``hands_over`` leaves
    the reservation of a completed one to whoever takes the KV cache over.
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
        """The id of the request."""
        return self.completion.request_id

    @property
    def is_stalled(self) -> bool:
        """Whether its stream is held back."""
        return self.stream is not None and self.stream.is_stalled

    def start(self, reservation: Reservation) -> None:
        """Count what is left to be read, now that the memory is held."""
        prompt_tokens = self.completion.prompt_tokens
        cached = reservation.hits * TOKENS_PER_PIECE
        if self.is_prefilled:
            cached = prompt_tokens
        self.reservation = reservation
        self.cached_tokens = min(cached, prompt_tokens)
        left = prompt_tokens + self.completion.offset - cached
        self.prefill_left = max(int(not self.is_prefilled), left)

    def decode(self) -> StreamEnd | None:
        """Send the next token, and tell how the stream ended if it did."""
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
