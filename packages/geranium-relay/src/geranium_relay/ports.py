"""Interfaces of the relay to callers and targets."""

from collections.abc import AsyncIterator
from typing import Protocol

from .messages import CacheHandle, ResponseHead, TargetCall
from .targets import Target


class TargetResponse(Protocol):
    """A response whose head has arrived.

    ``framed`` says that the body has a length or chunks. Otherwise it ends
    with the connection, also if the target broke it off.
    """

    head: ResponseHead
    framed: bool

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            AnswerLostError: If the body is cut before its end.
        """
        ...

    async def read(self, max_bytes: int) -> bytes:
        """Return the complete body.

        Raises:
            AnswerLostError: If the body is cut or larger than the limit.
        """
        ...

    def close(self) -> None:
        """Close the connection, which stops the request on the target."""
        ...


class TargetPort(Protocol):
    """Calls to targets.

    An implementation records the notices in all responses in
    :class:`TargetNotices` before it returns or raises.
    """

    async def send(self, call: TargetCall) -> TargetResponse:
        """Send a call and return its response once the head has arrived.

        Raises:
            RelayError: One of its subclasses.
        """
        ...

    async def read_prompt(self, call: TargetCall) -> CacheHandle:
        """Prefill the job's prompt on the target, which then holds it.

        Raises:
            RelayError: One of its subclasses.
        """
        ...

    async def is_reachable(self, target: Target) -> bool:
        """Return whether the target accepts a new connection."""
        ...

    async def drop_prompt(self, kept: CacheHandle) -> None:
        """Free a prompt that will not be fetched; failures are logged."""
        ...


class ResponseSink(Protocol):
    """Writes a response to the caller."""

    async def start(self, head: ResponseHead, length: int | None) -> None:
        """Start the response; ``length`` is ``None`` for a stream."""
        ...

    async def write(self, data: bytes) -> None:
        """Write a part of the body."""
        ...

    async def finish(self) -> None:
        """End the response as complete."""
        ...
