"""KV caches held for transfer between engines."""

import dataclasses
import time

from .cache import KvMemory, Reservation
from .completions import Completion

EXPIRY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Handoff:
    """KV cache of a prompt, dropped at ``expires_at``.

    ``expires_at`` is a monotonic time in seconds.
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
        """Add a KV cache; an existing one with the same name is dropped."""
        self.drop(name)
        self._handoffs_by_name[name] = Handoff(
            prompt_tokens,
            reservation,
            time.monotonic() + EXPIRY_S,
        )

    def take(self, name: str) -> Handoff | None:
        """Remove and return a KV cache; the caller must release it."""
        return self._handoffs_by_name.pop(name, None)

    def take_for(self, completion: Completion) -> Reservation | None:
        """Remove and return the KV cache of a request.

        It is released instead if it belongs to another prompt.
        """
        handoff = self.take(completion.request_id)
        if handoff is None:
            return None
        if handoff.reservation.prefixes == completion.prefixes:
            return handoff.reservation
        self._memory.release(handoff.reservation)
        return None

    def drop(self, name: str) -> None:
        """Remove and release the KV cache with this name, if any."""
        handoff = self.take(name)
        if handoff is not None:
            self._memory.release(handoff.reservation)

    def drop_expired(self) -> None:
        """Remove and release expired KV caches."""
        now = time.monotonic()
        for name, handoff in tuple(self._handoffs_by_name.items()):
            if handoff.expires_at <= now:
                self.drop(name)
