"""KV caches that one engine hands to another."""

import dataclasses
import time

from .cache import KvMemory, Reservation
from .completions import Completion

EXPIRY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Handoff:
    """The KV cache of a prompt; it is dropped at ``expires_at``.

    ``expires_at`` is in monotonic seconds.
    """

    prompt_tokens: int
    reservation: Reservation
    expires_at: float


class HandoffTable:
    """KV caches by handle or request id, until taken or expired."""

    def __init__(self, memory: KvMemory) -> None:
        self._memory = memory
        self._handoffs_by_name: dict[str, Handoff] = {}

    def add(
        self,
        name: str,
        prompt_tokens: int,
        reservation: Reservation,
    ) -> None:
        """Keep a KV cache; one of the same name is dropped."""
        self.drop(name)
        self._handoffs_by_name[name] = Handoff(
            prompt_tokens,
            reservation,
            time.monotonic() + EXPIRY_S,
        )

    def take(self, name: str) -> Handoff | None:
        """Return a KV cache, which is the caller's to release."""
        return self._handoffs_by_name.pop(name, None)

    def take_for(self, completion: Completion) -> Reservation | None:
        """Return what was kept for a request, if it is for its prompt."""
        handoff = self.take(completion.request_id)
        if handoff is None:
            return None
        if handoff.reservation.prefixes == completion.prefixes:
            return handoff.reservation
        self._memory.release(handoff.reservation)
        return None

    def drop(self, name: str) -> None:
        """Release a KV cache, if there is one of this name."""
        handoff = self.take(name)
        if handoff is not None:
            self._memory.release(handoff.reservation)

    def drop_expired(self) -> None:
        """Release those that nobody took in time."""
        now = time.monotonic()
        for name, handoff in tuple(self._handoffs_by_name.items()):
            if handoff.expires_at <= now:
                self.drop(name)
