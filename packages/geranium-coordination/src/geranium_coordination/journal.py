"""The order journal: every order is written down before it is sent.

A journal is one object per receiver of orders (an engine, or a service's
targets of one purchase kind in a zone). It holds the latest order and the
sessions that may still have copies of any order under way. Whoever holds
the authority carries the latest order to its end before planning another,
so the receiver gets one sequence of orders, at worst with repeats.

A copy that arrives late, after a different order, would break the sequence.
What keeps it harmless depends on the receiver (:class:`LateCopyHandling`): its
check of the fencing number, its memory of order ids, or, where it obeys
every copy, the wait for all senders: each has to declare that none of its
copies can still arrive, or its host has to be gone from the host list for
as long as a copy may be in flight.
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
from .senders import Senders, after_end, are_awaited
from .timeouts import TimedStore
from .transmissions import Transmission

_SendHandle = TypeVar('_SendHandle')


class OrderJournal:
    """A receiver's journal in the hands of one holder of authority."""

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
        self._senders = Senders(
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
        """Journal an order, if nothing stands against it.

        Args:
            order_id: An identifier that no other order of this receiver has.
            command: What to do, as a JSON value.

        Raises:
            StoreError: If the store failed; the order may then stand in the
                journal, which planning the same id again finds out.
        """
        state = self._authority.check(self._clock.now())
        if isinstance(state, Lost):
            return state
        own = self._senders.own
        wanted = Order(order_id, command, OrderState.PLANNED, 0, own)
        record = await self._object.load()
        if are_awaited(self._receiver.late_copy_handling, record):
            await self._senders.look(record)
        outcome: JournalRecord | PlanOutcome = await self._object.update(
            lambda present: self._append(present, wanted),
        )
        if isinstance(outcome, JournalRecord):
            return Planned(wanted)
        return outcome

    async def withdraw(self, order: Order) -> bool:
        """Give up a planned order; say whether it was never sent.

        Raises:
            StoreError: If the store failed.
        """
        record = await self._object.update(
            lambda present: _end_planned(present, order),
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

        The journal first says that this session sends. Then the authority
        is checked and ``start`` is called with no await between.

        Args:
            order: The order as :meth:`plan` returned it.
            start: Starts the transmission synchronously; it gets the order
                with the fencing number to send.
            deadline: The instant by which the transmission is given up. The
                authority has to outlast it, or nothing is started.

        Raises:
            StoreError: If the store failed; nothing was sent then.
        """
        needed_until = deadline + self._settings.send_margin_s
        if isinstance(self._authority.check(needed_until), Lost):
            return NotStarted('the authority ends before the deadline')
        claimed = await self._claim(order)
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
        """Note the end that a definite answer gave the order.

        The answer also says that this copy is not in flight any more. A
        refusal for its fencing number is no end: the order is another's.

        Raises:
            StoreError: If the store failed.
        """
        started.transmission.resolve()
        return await self._object.update(
            lambda present: self._end(present, started.order, state),
        )

    async def release(self) -> None:
        """Declare that no copy from this session can arrive any more.

        It waits out copies that may be in flight and store failures, and
        needs no authority. Nothing may be sent after it was called.
        """
        await self._clock.sleep_until(self._senders.in_flight_until)
        while True:
            try:
                await self._object.update(self._without_own)
            except StoreError:
                pause_s = self._settings.retry_every_s
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
            return Ended(latest) if latest.state.is_end else Planned(latest)
        if record.unfinished:
            return Unfinished(record.unfinished)
        remaining = self._senders.remaining(record)
        if remaining and are_awaited(self._receiver.late_copy_handling, record):
            return Blocked(remaining)
        return dataclasses.replace(record, order=wanted, senders=remaining)

    async def _claim(self, order: Order) -> Order | NotStarted:
        if self._receiver.late_copy_handling is LateCopyHandling.APPLIED:
            if not await self._senders.is_listed():
                return NotStarted('this host is not listed yet')
        claimed = await self._object.update(
            lambda present: self._with_own(present, order),
        )
        if isinstance(claimed, NotStarted):
            return claimed
        return claimed.unfinished or NotStarted('the order has ended')

    def _with_own(
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

    def _end(
        self,
        record: JournalRecord,
        order: Order,
        state: OrderState,
    ) -> JournalRecord:
        latest = record.unfinished
        ended = record
        if latest and latest.order_id == order.order_id:
            done = dataclasses.replace(latest, state=state)
            ended = after_end(
                self._receiver.late_copy_handling,
                dataclasses.replace(record, order=done),
            )
        if self._clock.now() < self._senders.in_flight_until:
            return ended
        return self._without_own(ended)

    def _without_own(self, record: JournalRecord) -> JournalRecord:
        senders = record.senders - {self._senders.own}
        return dataclasses.replace(record, senders=senders)


def _end_planned(record: JournalRecord, order: Order) -> JournalRecord:
    latest = record.unfinished
    if latest is None or latest.order_id != order.order_id:
        return record
    if latest.state is not OrderState.PLANNED:
        return record
    released = dataclasses.replace(latest, state=OrderState.RELEASED)
    return dataclasses.replace(record, order=released)
