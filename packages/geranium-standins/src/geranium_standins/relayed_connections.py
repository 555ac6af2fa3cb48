"""Connections forwarded by a relay, with fault injection."""

import asyncio
import dataclasses
import time

from .connections import reset
from .faults import RelayFaults, RelayMode
from .settings import MS_PER_S

READ_BYTES = 65_536
MAX_CHUNKS = 64  # on their way, beyond which a sender waits


@dataclasses.dataclass(frozen=True, slots=True)
class _Chunk:
    """Buffered bytes; an empty payload marks the end of the stream."""

    due_at: float
    payload: bytes


class RelayFaultState:
    """Current fault switches, with notification of changes."""

    def __init__(self) -> None:
        self.faults = RelayFaults()
        self._changed = asyncio.Event()

    def update(self, faults: RelayFaults) -> None:
        """Set the fault switches and wake all waiters."""
        self.faults = faults
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_while_held(self, *, from_target: bool) -> None:
        """Wait while the fault mode holds back bytes.

        Args:
            from_target: Whether the bytes come from the target.
        """
        while self._is_held(from_target=from_target):
            await self._changed.wait()

    def _is_held(self, *, from_target: bool) -> bool:
        match self.faults.mode:
            case RelayMode.HOLD:
                return True
            case RelayMode.HOLD_ANSWERS:
                return from_target
            case _:
                return False


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Reader and writer of one TCP connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class RelayedConnection:
    """A caller's connection and the matching connection to the target."""

    def __init__(
        self,
        caller: Endpoint,
        target: Endpoint,
        fault_state: RelayFaultState,
    ) -> None:
        self.is_silent = False
        self._endpoints = (caller, target)
        self._fault_state = fault_state

    async def forward(self) -> None:
        """Forward bytes in both directions until both streams have ended.

        A silent connection discards all bytes and stays open until this
        coroutine is cancelled.

        Raises:
            OSError: If a connection breaks.
        """
        caller, target = self._endpoints
        async with asyncio.TaskGroup() as group:
            group.create_task(self._forward_one_way(caller, target))
            group.create_task(self._forward_one_way(target, caller))

    def reset(self) -> None:
        """Reset both connections."""
        for endpoint in self._endpoints:
            reset(endpoint.writer.transport)

    async def _forward_one_way(self, source: Endpoint, sink: Endpoint) -> None:
        chunks = asyncio.Queue[_Chunk](MAX_CHUNKS)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive(source, chunks))
            group.create_task(self._deliver(chunks, sink))

    async def _receive(
        self,
        source: Endpoint,
        chunks: asyncio.Queue[_Chunk],
    ) -> None:
        payload = await source.reader.read(READ_BYTES)
        while payload:
            await chunks.put(self._schedule(payload))
            payload = await source.reader.read(READ_BYTES)
        await chunks.put(self._schedule(payload))

    def _schedule(self, payload: bytes) -> _Chunk:
        delay_s = self._fault_state.faults.delay_ms / MS_PER_S
        return _Chunk(time.monotonic() + delay_s, payload)

    async def _deliver(
        self,
        chunks: asyncio.Queue[_Chunk],
        sink: Endpoint,
    ) -> None:
        has_ended = False
        while not has_ended:
            chunk = await chunks.get()
            await asyncio.sleep(max(0, chunk.due_at - time.monotonic()))
            await self._fault_state.wait_while_held(
                from_target=sink is self._endpoints[0],
            )
            if self.is_silent:
                continue
            has_ended = not chunk.payload
            await _write(sink, chunk.payload)


async def _write(sink: Endpoint, payload: bytes) -> None:
    if payload:
        sink.writer.write(payload)
        await sink.writer.drain()
    else:
        sink.writer.write_eof()
