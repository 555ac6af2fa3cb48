"""The interfaces through which the relay reaches callers and targets."""

from collections.abc import AsyncIterator
from typing import Protocol

from .messages import CacheHandle, ResponseHead, TargetCall
from .targets import Target


class TargetResponse(Protocol):
    """An answer that has begun."""

    head: ResponseHead

    def chunks(self) -> AsyncIterator[bytes]:
        """Give the body as it comes.

        Raises:
            AnswerLostError: If the body is cut before its end.
        """
        ...

    def close(self) -> None:
        """Drop the connection, which stops the target's work."""
        ...


class TargetPort(Protocol):
    """Calls to targets."""

    async def send(self, call: TargetCall) -> TargetResponse:
        """Send a call and return its answer once its head is there.

        Raises:
            RelayError: One of its subclasses.
        """
        ...

    async def read_prompt(self, call: TargetCall) -> CacheHandle:
        """Have the target read the job's prompt and keep it.

        Raises:
            RelayError: One of its subclasses.
        """
        ...

    async def is_reachable(self, target: Target) -> bool:
        """Say whether the target accepts a new connection."""
        ...

    async def drop_prompt(self, kept: CacheHandle) -> None:
        """Free a prompt that nobody will fetch; failures are logged."""
        ...


class ResponseSink(Protocol):
    """The caller's side of an answer."""

    async def start(self, head: ResponseHead, length: int | None) -> None:
        """Begin the answer; ``length`` is ``None`` for a stream."""
        ...

    async def write(self, data: bytes) -> None:
        """Pass a part of the body on."""
        ...

    async def finish(self) -> None:
        """End the answer as complete."""
        ...
