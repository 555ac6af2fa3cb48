"""A simulated process that campaigns for duties and sends orders."""

import asyncio
import contextlib
import math

import geranium_coordination as coordination
from geranium_coordination.timeouts import finish_by

from .world import (
    HOLDER,
    HOST_LIST_LAG_S,
    Fault,
    FaultKind,
    Machine,
    MachineStore,
    World,
)

ORDER_TIMEOUT_S = 1.0


class Process:
    """One daemon from its start to its kill."""

    def __init__(self, machine: Machine, names: tuple[str, ...]) -> None:
        world = machine.world
        self.machine = machine
        self.is_dead = False
        self.leases: list[coordination.Lease] = []
        self.store = MachineStore(machine, world.store)
        self._names = names
        self._order_count = 0
        self.runner = coordination.DutyRunner(
            coordination.DutyContext(
                self.store,
                machine,
                world.duties,
                machine.host,
                self._hosts,
                machine.rng,
            ),
        )
        self._journals = coordination.JournalContext(
            self.store,
            machine,
            world.journals,
            world,
            machine.rng,
        )
        world.processes.append(self)
        self.task = asyncio.create_task(self._run())

    def held_leases(self, instant: float) -> list[coordination.Lease]:
        """Return the leases that the process would consider held."""
        if self.is_dead:
            return []
        reading = self.machine.reading(instant)
        return [lease for lease in self.leases if lease.is_held(reading)]

    def kill(self) -> None:
        self.is_dead = True
        self.machine.freeze(math.inf)

    def _hosts(self) -> frozenset[str]:
        processes = self.machine.world.processes
        return frozenset(process.machine.host for process in processes)

    async def _run(self) -> None:
        for name in self._names:
            self.runner.add(coordination.Duty(name, self._run_duty))
        async with asyncio.TaskGroup() as group:
            group.create_task(self.runner.run())
            group.create_task(self._release_predecessors())

    async def _release_predecessors(self) -> None:
        while True:
            try:
                await coordination.release_predecessors(
                    self._journals, self.machine.host
                )
            except coordination.StoreError:
                await self._pause(1)
            else:
                return

    async def _run_duty(self, lease: coordination.Lease) -> None:
        """Send orders to the duty's receivers one after another."""
        self.leases.append(lease)
        self.machine.world.sample()
        journals = coordination.OrderJournals(self._journals, lease)
        try:
            async with asyncio.TaskGroup() as group:
                for receiver in self.machine.world.receivers:
                    journal = journals.open(receiver)
                    group.create_task(
                        self._send_orders(journal, receiver, lease)
                    )
                group.create_task(self._pause(math.inf))
        finally:
            await journals.release()

    async def _send_orders(
        self,
        journal: coordination.OrderJournal,
        receiver: coordination.OrderReceiver,
        lease: coordination.Lease,
    ) -> None:
        while True:
            self._order_count += 1
            order_id = f'{lease.session}-{self._order_count}'
            with contextlib.suppress(coordination.StoreError):
                outcome = await journal.plan(order_id, {'number': order_id})
                await self._handle_outcome(outcome, journal, receiver, lease)
            await self._pause(0.7)

    async def _handle_outcome(
        self,
        outcome: coordination.PlanOutcome,
        journal: coordination.OrderJournal,
        receiver: coordination.OrderReceiver,
        lease: coordination.Lease,
    ) -> None:
        if isinstance(
            outcome,
            (coordination.Planned, coordination.Unfinished),
        ):
            await self._deliver(journal, receiver, lease, outcome.order)

    async def _deliver(
        self,
        journal: coordination.OrderJournal,
        receiver: coordination.OrderReceiver,
        lease: coordination.Lease,
        order: coordination.Order,
    ) -> None:
        deadline = self.machine.now() + ORDER_TIMEOUT_S
        sent = await journal.send(
            order,
            lambda fenced: self.machine.world.transmit(
                self.machine,
                receiver,
                fenced,
                lease.is_held(),
            ),
            deadline,
        )
        if isinstance(sent, coordination.NotStarted):
            return
        with contextlib.suppress(TimeoutError):
            answer = sent.transmission.send_handle
            if await finish_by(self.machine, deadline, answer):
                await journal.finish(sent, coordination.OrderState.DONE)

    async def _pause(self, length_s: float) -> None:
        await self.machine.sleep_until(self.machine.now() + length_s)


class Fleet:
    """Several processes and the injection of faults into them."""

    def __init__(
        self,
        world: World,
        rates: tuple[float, ...],
        names: tuple[str, ...],
        seed: int,
    ) -> None:
        self._world = world
        self._rates = rates
        self._names = names
        self._seed = seed
        self._restarts: list[asyncio.Task] = []
        self.members = [
            self._start(host_index) for host_index in range(len(rates))
        ]

    async def inject_all(self, faults: list[Fault]) -> None:
        for fault in sorted(faults, key=lambda fault: fault.at):
            await self._world.sleep_until(fault.at)
            self._inject(fault, self._world.now() + fault.length_s)

    def _start(self, host_index: int) -> Process:
        self._seed += 1
        machine = Machine(
            self._world, host_index, self._seed, self._rates[host_index]
        )
        return Process(machine, self._names)

    def _affected_process(self, host_index: int) -> Process:
        if host_index != HOLDER:
            return self.members[host_index]
        return max(
            self.members,
            key=lambda member: any(lease.is_held() for lease in member.leases),
        )

    def _inject(self, fault: Fault, until: float) -> None:
        process = self._affected_process(fault.host_index)
        machine = process.machine
        match fault.kind:
            case FaultKind.KILL | FaultKind.REPLACE if not process.is_dead:
                process.kill()
                self._restarts.append(
                    asyncio.create_task(
                        self._restart(fault, machine.host_index, until),
                    ),
                )
            case FaultKind.FREEZE:
                machine.freeze(until)
            case FaultKind.FREEZE_BEFORE_SEND:
                machine.freeze_before_send_s = fault.length_s
            case FaultKind.BUFFER:
                machine.buffered_s = fault.length_s
            case FaultKind.OUTAGE:
                for member in self.members:
                    member.machine.until_by_kind[FaultKind.OUTAGE] = until
            case _:
                machine.until_by_kind[fault.kind] = until

    async def _restart(
        self, fault: Fault, host_index: int, until: float
    ) -> None:
        """Restart the host, or remove it from the host list permanently."""
        if fault.kind is FaultKind.REPLACE:
            host = self.members[host_index].machine.host
            gone_at = self._world.now() + HOST_LIST_LAG_S
            self._world.gone_at_by_host[host] = gone_at
            return
        await self._world.sleep_until(until)
        self.members[host_index] = self._start(host_index)
