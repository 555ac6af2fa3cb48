"""The targets of a run, and the entries that they have in the store."""

import asyncio
import itertools
import random
import time

from aiohttp import web
from geranium_platform_standins import (
    LOOPBACK,
    PROMPT_SERVICE,
    RequestObserver,
    SimulatedTarget,
    SimulatedTargetFaults,
    StandinStore,
    free_ports,
)
from geranium_standins.faults import RelayFaults, RelayMode
from geranium_standins.relay_server import Relay
from geranium_standins.settings import MS_PER_S

from .faults import LinkFault, TargetFault
from .observations import Ledger, now
from .overlays import Overlay
from .seats import Seat, SeatEntries

TARGETS_ADDRESS = '127.0.2.1'
LAPSE_S = 1.5  # after its end an entry stays for so long
LINGER_S = 3.5  # a target that leaves serves on for so long


class SoakFleet:
    """Starts, harms, ends and replaces targets.

    Args:
        store: Holds the targets' entries.
        observer: Is told of each request at a target.
        ledger: Is told of faults and of targets that leave.
        source: Draws names and what targets do.
    """

    def __init__(
        self,
        store: StandinStore,
        observer: RequestObserver,
        ledger: Ledger,
        source: random.Random,
    ) -> None:
        self.seats: list[Seat] = []
        self._entries = SeatEntries(store)
        self._observer = observer
        self._ledger = ledger
        self._source = source
        self._numbers = itertools.count(1)
        self._prompts_by_handle: dict[str, str] = {}
        self._link_harm_by_seat: dict[str, Overlay[RelayFaults]] = {}

    async def add(self, service: str, zone: str, stage: str | None) -> Seat:
        """Start a target at an address of its own."""
        # Connections leave from another address and can't take the port
        # while no target listens there.
        port = free_ports(1, TARGETS_ADDRESS)[0]
        relay = Relay(TARGETS_ADDRESS, port)
        address = await relay.start(LOOPBACK, 0)
        seat = Seat(zone, stage, service, relay, address, port)
        self.seats.append(seat)
        self._link_harm_by_seat[seat.name] = Overlay(
            relay.set_faults,
            RelayFaults(),
        )
        await self._open(seat)
        return seat

    async def close(self) -> None:
        """End all targets."""
        for seat in self.seats:
            await self._shut(seat)
            await seat.relay.stop()

    async def cut(self, seat: Seat, fault: LinkFault, for_s: float) -> None:
        """Harm the link to a target for a time."""
        await self._relay(seat, RelayFaults(RelayMode(fault.value)), for_s)

    async def delay(self, seat: Seat, delay_ms: int, for_s: float) -> None:
        """Delay the bytes to and from a target for a time."""
        await self._relay(seat, RelayFaults(delay_ms=delay_ms), for_s)

    async def harm(
        self,
        seat: Seat,
        fault: TargetFault,
        share: float,
        for_s: float,
    ) -> None:
        """Let a target misbehave for a time."""
        target = seat.target
        if target is None:
            return
        begun_at = now()
        target.faults = work_faults(fault, share)
        await asyncio.sleep(for_s)
        target.faults = SimulatedTargetFaults()
        self._note(fault.value, seat, begun_at)

    async def crash(self, seat: Seat, down_s: float, *, reused: bool) -> None:
        """End a target at once and start another at its address."""
        target = seat.target
        if target is None:
            return
        begun_at = now()
        seat.target = None
        await self._shut(seat)
        await asyncio.sleep(min(LAPSE_S, down_s))
        self._entries.forget(target.identity)
        await asyncio.sleep(max(down_s - LAPSE_S, 0))
        if reused and seat.stage is None and self._has_other(seat):
            seat.service = PROMPT_SERVICE
            seat.stage = 'decode'
        await self._open(seat)
        self._note('crashed', seat, begun_at)

    async def replace(self, seat: Seat) -> None:
        """Let a target leave as planned, another of its kind beside it."""
        target = seat.target
        if target is None:
            return
        seat.target = None
        await self.add(seat.service, seat.zone, seat.stage)
        self._entries.publish(seat, target.identity, leaving=True)
        self._ledger.left_at_by_target[target.identity] = now()
        await asyncio.sleep(LINGER_S)
        self._entries.forget(target.identity)
        await asyncio.sleep(LINGER_S)
        await self._shut(seat)

    async def lapse(self, for_s: float) -> None:
        """Drop all entries for a time, as the store does in an outage."""
        for seat in self.working():
            if seat.target is not None:
                self._entries.forget(seat.target.identity)
        await asyncio.sleep(for_s)
        for each in self.working():
            if each.target is not None:
                self._entries.publish(each, each.target.identity)

    def working(self) -> list[Seat]:
        """Return the seats that have a target that is not leaving."""
        return [seat for seat in self.seats if seat.target is not None]

    def _has_other(self, seat: Seat) -> bool:
        return any(
            other.service == seat.service
            for other in self.working()
            if other is not seat
        )

    async def _open(self, seat: Seat) -> None:
        number = next(self._numbers)
        target = SimulatedTarget(
            f'i-{number}',
            seat.service,
            self._observer,
            self._prompts_by_handle,
            self._source,
        )
        application = target.application(streams=seat.stage is not None)
        seat.runner = await _bind(application, seat.port)
        seat.born_ms = int(time.time() * MS_PER_S)
        seat.target = target
        self._entries.publish(seat, target.identity)

    async def _shut(self, seat: Seat) -> None:
        runner = seat.runner
        seat.runner = None
        if runner is not None:
            await runner.cleanup()

    async def _relay(
        self,
        seat: Seat,
        faults: RelayFaults,
        for_s: float,
    ) -> None:
        begun_at = now()
        await self._link_harm_by_seat[seat.name].hold(faults, for_s)
        self._note(faults.mode.value, seat, begun_at)

    def _note(self, what: str, seat: Seat, begun_at: float) -> None:
        self._ledger.note_disruption(f'target {what}', seat.name, begun_at)


def work_faults(fault: TargetFault, share: float) -> SimulatedTargetFaults:
    """Return the switches of a stand-in that stand for a fault."""
    return SimulatedTargetFaults(
        share,
        loses_answers=fault is TargetFault.ANSWERS_LOST,
        fails=fault is TargetFault.ERRORS,
        breaks_off=fault is TargetFault.BROKEN_OFF,
        refuses=fault is TargetFault.REFUSES,
        mute=fault is TargetFault.MUTE,
        adds_bytes=fault is TargetFault.EXTRA_BYTES,
    )


async def _bind(application: web.Application, port: int) -> web.AppRunner:
    runner = web.AppRunner(
        application,
        shutdown_timeout=0,
        handler_cancellation=True,
    )
    await runner.setup()
    site = web.TCPSite(runner, TARGETS_ADDRESS, port, reuse_address=True)
    await site.start()
    return runner
