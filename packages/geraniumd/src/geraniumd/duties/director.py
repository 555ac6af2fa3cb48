"""Duty that executes the orders of a service's engines and plans roles."""

import asyncio
import uuid
from collections.abc import Iterable, Mapping
from functools import partial

from geranium_coordination import (
    JournalContext,
    Lease,
    OrderJournals,
    StoreError,
)
from geranium_coordination.orders import JournalRecord, parse_record
from geranium_model import Role
from geranium_policy import EngineRole, RolePlanner, RoleSettings
from geranium_policy.role_policies import FixedSplit, PlannedSplit

from ..backends import command_body
from ..process import ControlSettings, get_logger
from ..state import Context, EngineEntry, StoredIntent
from .engine_orders import (
    ENGINE_JOURNALS,
    WANTED_ROLE,
    EngineOrder,
    EngineOrderSender,
    engine_receiver,
)
from .stages import KIND, RESUME, is_completed, next_order

_TICK_INTERVAL_S = 1


class EngineDirector:
    """Executes operators' orders and adjusts engine roles to the demand."""

    def __init__(
        self,
        service: str,
        context: Context,
        journals: JournalContext,
        sender: EngineOrderSender,
    ) -> None:
        self._service = service
        self._journals = journals
        self._sender = sender
        self._intents = context.intents
        self._fleet = context.fleet
        self._demand = context.demand
        self._clock = journals.clock
        self._planner = RolePlanner(
            _role_settings(context.settings.control),
        )
        self._log = get_logger()
        self._tasks_by_engine: dict[str, asyncio.Task[None]] = {}

    async def run(self, lease: Lease) -> None:
        """Run the duty under a lease until cancelled."""
        journals = OrderJournals(self._journals, lease)
        try:
            while True:
                await self._tick(journals, lease)
                await asyncio.sleep(_TICK_INTERVAL_S)
        finally:
            await self._cancel_tasks()
            await journals.release()

    async def _tick(self, journals: OrderJournals, lease: Lease) -> None:
        try:
            intents = await self._intents.list(self._service)
            records_by_engine = await self._read_journals()
        except StoreError as error:
            self._log.warning('orders_not_read', error=str(error))
            return
        for order in self._due_orders(intents, records_by_engine):
            engine = order.engine.name
            if engine not in self._tasks_by_engine:
                task = asyncio.create_task(
                    self._execute(journals, lease, order),
                    name=f'order {engine}',
                )
                self._tasks_by_engine[engine] = task
                task.add_done_callback(
                    partial(self._handle_task_end, engine),
                )
        await self._remove_completed(intents, records_by_engine)

    def _due_orders(
        self,
        intents: Iterable[StoredIntent],
        records_by_engine: Mapping[str, JournalRecord],
    ) -> Iterable[EngineOrder]:
        """Return at most one order for each engine.

        An unfinished order takes precedence, then an operator's order, then
        an order of the role planner.
        """
        entries_by_name = {
            entry.name: entry for entry in self._fleet.engines(self._service)
        }
        orders_by_engine = {
            order.engine.name: order
            for order in self._planned_orders(
                entries_by_name, records_by_engine
            )
        }
        for stored in intents:
            entry = entries_by_name.get(stored.intent.engine)
            if entry is None:
                continue
            record = records_by_engine.get(entry.name)
            orders_by_engine.pop(entry.name, None)
            due = next_order(stored.intent, entry, record)
            if due is not None:
                orders_by_engine[entry.name] = due
        for engine, record in records_by_engine.items():
            unfinished = record.unfinished
            if unfinished and engine in entries_by_name:
                orders_by_engine[engine] = EngineOrder(
                    entries_by_name[engine].target,
                    unfinished.order_id,
                    unfinished.command,
                )
        return orders_by_engine.values()

    def _planned_orders(
        self,
        entries_by_name: Mapping[str, EngineEntry],
        records_by_engine: Mapping[str, JournalRecord],
    ) -> Iterable[EngineOrder]:
        views = [
            _engine_role(entry, records_by_engine.get(entry.name))
            for entry in entries_by_name.values()
            if entry.view.load is not None
        ]
        now = self._clock.now()
        demand = self._demand.total(self._service)
        for step in self._planner.plan(views, demand, now):
            self._log.info(
                'role_step',
                engine=step.engine,
                command=str(step.command),
                wanted=step.wanted.value,
                reason=step.reason,
            )
            yield EngineOrder(
                entries_by_name[step.engine].target,
                _new_order_id(),
                {
                    **command_body(step.command),
                    WANTED_ROLE: step.wanted.value,
                },
            )

    async def _execute(
        self,
        journals: OrderJournals,
        lease: Lease,
        order: EngineOrder,
    ) -> None:
        journal = journals.open(engine_receiver(order.engine))
        try:
            await self._sender.execute(journal, lease, order)
        except StoreError as error:
            self._log.warning(
                'order_not_carried',
                engine=order.engine.name,
                error=str(error),
            )

    def _handle_task_end(self, engine: str, task: asyncio.Task[None]) -> None:
        self._tasks_by_engine.pop(engine, None)
        if not task.cancelled() and task.exception() is not None:
            self._log.error('order_failed', error=repr(task.exception()))

    async def _remove_completed(
        self,
        intents: Iterable[StoredIntent],
        records_by_engine: Mapping[str, JournalRecord],
    ) -> None:
        for stored in intents:
            record = records_by_engine.get(stored.intent.engine)
            if not is_completed(stored.intent, record):
                continue
            try:
                await self._intents.remove(stored)
            except StoreError as error:
                self._log.warning('intent_not_removed', error=str(error))

    async def _read_journals(self) -> Mapping[str, JournalRecord]:
        root = self._journals.settings.prefix
        prefix = f'{root}{ENGINE_JOURNALS}/{self._service}/'
        listing = await self._journals.store.read_prefix(prefix)
        return {
            stored.key.removeprefix(prefix): parse_record(stored)
            for stored in listing
        }

    async def _cancel_tasks(self) -> None:
        tasks = tuple(self._tasks_by_engine.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _new_order_id() -> str:
    return f'role-{uuid.uuid4()}'


def _engine_role(
    entry: EngineEntry, record: JournalRecord | None
) -> EngineRole:
    return EngineRole(
        engine=entry.name,
        role=entry.view.role,
        wanted=_wanted_role(record),
        draining=not entry.view.accepting,
        sequences=entry.view.sequences(),
    )


def _wanted_role(record: JournalRecord | None) -> Role | None:
    """Return the target role of a role change in progress."""
    if record is None or record.order is None:
        return None
    command = record.order.command
    if command[KIND] == RESUME and record.unfinished is None:
        return None
    wanted = command.get(WANTED_ROLE)
    return None if wanted is None else Role(wanted)


def _role_settings(settings: ControlSettings) -> RoleSettings:
    policy = PlannedSplit() if settings.plan_roles else FixedSplit()
    return RoleSettings(policy)
