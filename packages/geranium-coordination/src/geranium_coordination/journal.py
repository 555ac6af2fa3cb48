"""A write-ahead journal of orders: each order is stored before it is sent.

There is one journal object per receiver of orders (an engine, or a service's
targets of one purchase kind in a zone). It holds the latest order and the
senders that may still have copies of any order in flight. The holder of the
authority completes the latest order before it plans another, so the receiver
gets a single sequence of orders, possibly with duplicates.

A copy that arrives after a different order would break the sequence. The
protection depends on the receiver (:class:`LateCopyHandling`). It may check
the fencing number or remember order ids. If it applies every copy, the next
order waits for all senders: each must declare that none of its copies can
still arrive, or its host must have been missing from the host list for as
long as a copy may be in flight.
"""

import dataclasses
from collections.abc import Callable
from typing import Any, TypeVar

from .authority import Authority, Held, Lost
from .exceptions import StoreError
from .journal_context import JournalContext
from .journal_object import JournalObject
from .orders import (
    JournalRecord,
    LateCopyHandling,
    Order,
    OrderReceiver,
    OrderState,
    Sender,
)
from .outcomes import (
    Blocked,
    Ended,
    NotStarted,
    Planned,
    PlanOutcome,
    Started,
    Unfinished,
)
from .senders import SenderTracker, must_await_senders, prune_senders
from .timeouts import TimedStore
from .transmissions import Transmission

_SendHandle = TypeVar('_SendHandle')


class OrderJournal:
    """Plans and sends the orders of one receiver under one authority."""

    def __init__(
        self,
        context: JournalContext,
        receiver: OrderReceiver,
        authority: Authority,
    ) -> None:
        self._receiver = receiver
        self._authority = authority
        self._clock = context.clock
        self._settings = context.settings
        self._object = JournalObject(
            TimedStore(
                context.store,
                context.clock,
                context.settings.call_timeout_s,
            ),
            context.settings.prefix + receiver.name,
            context.rng,
        )
        self._senders = SenderTracker(
            Sender(authority.session, authority.host, authority.epoch),
            context.hosts,
            context.clock,
            context.settings.in_flight_bound_s,
        )

    async def load(self) -> JournalRecord:
        """Read the journal from the store.

        Raises:
            StoreError: If the store failed.
        """
        return await self._object.load()

    async def plan(self, order_id: str, command: Any) -> PlanOutcome:
        """Add an order to the journal unless an earlier one prevents it.

        Args:
            order_id: An identifier, unique among this receiver's orders.
            command: The command, as a JSON value.

        Raises:
            StoreError: If the store failed. The order may have been stored;
                planning the same id again finds out.
        """
        state = self._authority.check(self._clock.now())
        if isinstance(state, Lost):
            return state
        own = self._senders.own
        wanted = Order(order_id, command, OrderState.PLANNED, 0, own)
        record = await self._object.load()
        if must_await_senders(self._receiver.late_copy_handling, record):
            await self._senders.refresh_hosts(record)
        outcome: JournalRecord | PlanOutcome = await self._object.update(
            lambda present: self._append(present, wanted),
        )
        if isinstance(outcome, JournalRecord):
            return Planned(wanted)
        return outcome

    async def withdraw(self, order: Order) -> bool:
        """Release a planned order; return whether it was never sent.

        Raises:
            StoreError: If the store failed.
        """
        record = await self._object.update(
            lambda present: _release_planned(present, order),
        )
        latest = record.order
        return latest is not None and latest.state is OrderState.RELEASED

    async def send(
        self,
        order: Order,
        start: Callable[[Order], _SendHandle],
        deadline: float,
    ) -> Started[_SendHandle] | NotStarted:
        """Send a copy of the journal's unfinished order.

        The journal first records that this session sends. Then the
        authority is checked and ``start`` is called, with no await between.

        Args:
            order: The order as :meth:`plan` returned it.
            start: Starts the transmission synchronously. Its argument is the
                order with the fencing number to send.
            deadline: The instant at which the caller abandons the
                transmission. Nothing is started unless the authority lasts
                longer.

        Raises:
            StoreError: If the store failed. Nothing was sent.
        """
        needed_until = deadline + self._settings.send_margin_s
        if isinstance(self._authority.check(needed_until), Lost):
            return NotStarted('the authority ends before the deadline')
        claimed = await self._record_send(order)
        if isinstance(claimed, NotStarted):
            return claimed
        match self._authority.check(needed_until):
            case Lost(reason):
                return NotStarted(reason)
            case Held():
                return self._start(claimed, start, deadline)

    async def finish(
        self,
        started: Started[Any],
        state: OrderState,
    ) -> JournalRecord:
        """Record the final state that a definite response gave the order.

        The response also shows that this copy is no longer in flight. A
        rejection of the fencing number is not final: another sender has
        taken over the order.

        Raises:
            StoreError: If the store failed.
        """
        started.transmission.resolve()
        return await self._object.update(
            lambda present: self._with_outcome(present, started.order, state),
        )

    async def release(self) -> None:
        """Declare that no copy from this session can still arrive.

        Waits until no copy can be in flight and retries store failures. It
        needs no authority. Nothing may be sent after this call.
        """
        await self._clock.sleep_until(self._senders.in_flight_until)
        while True:
            try:
                await self._object.update(self._without_own_sender)
            except StoreError:
                pause_s = self._settings.retry_interval_s
                await self._clock.sleep_until(self._clock.now() + pause_s)
            else:
                return

    def _append(
        self,
        record: JournalRecord,
        wanted: Order,
    ) -> JournalRecord | PlanOutcome:
        latest = record.order
        if latest and latest.order_id == wanted.order_id:
            return Ended(latest) if latest.state.is_final else Planned(latest)
        if record.unfinished:
            return Unfinished(record.unfinished)
        in_flight = self._senders.senders_in_flight(record)
        if in_flight and must_await_senders(
            self._receiver.late_copy_handling, record
        ):
            return Blocked(in_flight)
        return dataclasses.replace(record, order=wanted, senders=in_flight)

    async def _record_send(self, order: Order) -> Order | NotStarted:
        if self._receiver.late_copy_handling is LateCopyHandling.APPLIED:
            if not await self._senders.is_host_listed():
                return NotStarted('this host is not listed yet')
        claimed = await self._object.update(
            lambda present: self._with_own_send(present, order),
        )
        if isinstance(claimed, NotStarted):
            return claimed
        return claimed.unfinished or NotStarted('the order has ended')

    def _with_own_send(
        self,
        record: JournalRecord,
        order: Order,
    ) -> JournalRecord | NotStarted:
        latest = record.unfinished
        if latest is None or latest.order_id != order.order_id:
            return NotStarted('the journal has another order or none')
        own = self._senders.own
        if latest.state is OrderState.SENT and latest.sender == own:
            return record
        number = record.number + 1
        sent = dataclasses.replace(
            latest,
            state=OrderState.SENT,
            number=number,
            sender=own,
        )
        return dataclasses.replace(
            record,
            number=number,
            order=sent,
            senders=record.senders | {own},
        )

    def _start(
        self,
        order: Order,
        start: Callable[[Order], _SendHandle],
        deadline: float,
    ) -> Started[_SendHandle]:
        transmission: Transmission[_SendHandle] = Transmission(self._clock)
        self._senders.add(transmission)
        transmission.begin(
            lambda: start(order),
            deadline,
            self._settings.in_flight_bound_s,
        )
        return Started(order, transmission)

    def _with_outcome(
        self,
        record: JournalRecord,
        order: Order,
        state: OrderState,
    ) -> JournalRecord:
        latest = record.unfinished
        ended = record
        if latest and latest.order_id == order.order_id:
            done = dataclasses.replace(latest, state=state)
            ended = prune_senders(
                self._receiver.late_copy_handling,
                dataclasses.replace(record, order=done),
            )
        if self._clock.now() < self._senders.in_flight_until:
            return ended
        return self._without_own_sender(ended)

    def _without_own_sender(self, record: JournalRecord) -> JournalRecord:
        senders = record.senders - {self._senders.own}
        return dataclasses.replace(record, senders=senders)


def _release_planned(record: JournalRecord, order: Order) -> JournalRecord:
    latest = record.unfinished
    if latest is None or latest.order_id != order.order_id:
        return record
    if latest.state is not OrderState.PLANNED:
        return record
    released = dataclasses.replace(latest, state=OrderState.RELEASED)
    return dataclasses.replace(record, order=released)
