"""Connections that a relay carries, with their faults."""

import asyncio
import dataclasses
import time

from .connections import reset
from .faults import RelayFaults, RelayMode
from .settings import MS_PER_S

READ_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class _Parcel:
    """Bytes on their way; empty ones are the end of the stream."""

    due_at: float
    payload: bytes


class LinkConditions:
    """The switches in force, and the wait for their change."""

    def __init__(self) -> None:
        self.faults = RelayFaults()
        self._changed = asyncio.Event()

    def change(self, faults: RelayFaults) -> None:
        """Take over switches and wake whoever waits."""
        self.faults = faults
        self._changed.set()
        self._changed = asyncio.Event()

    async def pass_hold(self, *, answers: bool) -> None:
        """Return once bytes are not held.

        Args:
            answers: Whether they come from the target.
        """
        while self._holds(answers=answers):
            await self._changed.wait()

    def _holds(self, *, answers: bool) -> bool:
        match self.faults.mode:
            case RelayMode.HOLD:
                return True
            case RelayMode.HOLD_ANSWERS:
                return answers
            case _:
                return False


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """One end of a link."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Link:
    """A connection to the relay and the one to the target behind it."""

    def __init__(
        self,
        caller: End,
        target: End,
        conditions: LinkConditions,
    ) -> None:
        self.is_silent = False
        self._ends = (caller, target)
        self._conditions = conditions

    async def carry(self) -> None:
        """Carry bytes both ways until both streams have ended.

        A silent link swallows them and stays until this is cancelled.

        Raises:
            OSError: If a connection breaks.
        """
        caller, target = self._ends
        async with asyncio.TaskGroup() as group:
            group.create_task(self._carry_one_way(caller, target))
            group.create_task(self._carry_one_way(target, caller))

    def reset(self) -> None:
        """Reset both connections."""
        for end in self._ends:
            reset(end.writer.transport)

    async def _carry_one_way(self, source: End, sink: End) -> None:
        parcels: asyncio.Queue[_Parcel] = asyncio.Queue()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._collect(source, parcels))
            group.create_task(self._deliver(parcels, sink))

    async def _collect(
        self,
        source: End,
        parcels: asyncio.Queue[_Parcel],
    ) -> None:
        payload = await source.reader.read(READ_BYTES)
        while payload:
            parcels.put_nowait(self._pack(payload))
            payload = await source.reader.read(READ_BYTES)
        parcels.put_nowait(self._pack(payload))

    def _pack(self, payload: bytes) -> _Parcel:
        delay_s = self._conditions.faults.delay_ms / MS_PER_S
        return _Parcel(time.monotonic() + delay_s, payload)

    async def _deliver(
        self,
        parcels: asyncio.Queue[_Parcel],
        sink: End,
    ) -> None:
        has_ended = False
        while not has_ended:
            parcel = await parcels.get()
            await asyncio.sleep(max(0, parcel.due_at - time.monotonic()))
            await self._conditions.pass_hold(
                answers=sink is self._ends[0],
            )
            if self.is_silent:
                continue
            has_ended = not parcel.payload
            await _write(sink, parcel.payload)


async def _write(sink: End, payload: bytes) -> None:
    if payload:
        sink.writer.write(payload)
        await sink.writer.drain()
    else:
        sink.writer.write_eof()
