"""Sends orders to engines and records them in their journals."""

import asyncio
import dataclasses
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

from geranium_coordination import (
    Authority,
    Clock,
    Ended,
    Held,
    Order,
    OrderJournal,
    OrderReceiver,
    OrderState,
    Planned,
    PlanOutcome,
    Started,
    Unfinished,
)
from geranium_coordination.orders import LateCopyHandling
from geranium_model import Engine

from ..backends import (
    ControlResponse,
    ControlTransport,
    NoResponse,
    TargetTransport,
    raise_for_status,
    read_body,
)
from ..process import TargetError, get_logger

ORDER_TIMEOUT_S = 1.5
ENGINE_JOURNALS = 'engines'
_DONE = '"done"'
_POLL_INTERVAL_S = 0.1
_POLL_LIMIT_S = 30

# Key of the command in the journal; it is not sent to the engine.
WANTED_ROLE = 'wanted_role'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order for an engine; ``command`` is its JSON form on the wire."""

    engine: Engine
    order_id: str
    command: Mapping[str, Any]


def engine_receiver(engine: Engine) -> OrderReceiver:
    """Return the receiver of an engine's order journal."""
    late_copy_handling = LateCopyHandling.APPLIED
    if engine.honours_fencing:
        late_copy_handling = LateCopyHandling.REFUSED
    return OrderReceiver(
        f'{ENGINE_JOURNALS}/{engine.service}/{engine.name}',
        late_copy_handling,
    )


class EngineOrderSender:
    """Plans and sends orders and waits until the engine has executed them."""

    def __init__(
        self,
        transport: ControlTransport,
        targets: TargetTransport,
        clock: Clock,
    ) -> None:
        self._transport = transport
        self._targets = targets
        self._clock = clock
        self._log = get_logger()

    async def execute(
        self,
        journal: OrderJournal,
        authority: Authority,
        wanted: EngineOrder,
    ) -> PlanOutcome:
        """Execute the engine's unfinished order, or this one if there is none.

        Returns:
            The outcome of planning the order, ``Ended`` if the order has
            ended already.

        Raises:
            StoreError: If the platform is unavailable.
        """
        outcome = await journal.plan(wanted.order_id, dict(wanted.command))
        match outcome:
            case Planned(order=order) | Unfinished(order=order):
                await self._send(journal, authority, wanted.engine, order)
            case Ended():
                return outcome
            case _:
                self._log.info(
                    'order_waits',
                    engine=wanted.engine.name,
                    order_id=wanted.order_id,
                    reason=str(outcome),
                )
        return outcome

    async def _send(
        self,
        journal: OrderJournal,
        authority: Authority,
        engine: Engine,
        order: Order,
    ) -> None:
        deadline = self._clock.now() + ORDER_TIMEOUT_S
        started = await journal.send(
            order,
            lambda claimed: asyncio.create_task(
                self._transmit(authority, engine, claimed, deadline),
            ),
            deadline,
        )
        if not isinstance(started, Started):
            return
        state = await started.transmission.send_handle
        if state is None:
            return
        await journal.finish(started, state)
        self._log.info(
            'order_ended',
            engine=engine.name,
            order_id=order.order_id,
            number=started.order.number,
            epoch=started.order.sender.epoch,
            state=state.value,
        )

    async def _transmit(
        self,
        authority: Authority,
        engine: Engine,
        order: Order,
        deadline: float,
    ) -> OrderState | None:
        """Send a copy of an order and return its final state, if known."""
        command = dict(order.command)
        command.pop(WANTED_ROLE, None)
        body = {
            'order_id': order.order_id,
            'epoch': order.number,
            'order': command,
        }
        self._log.info(
            'order_sent',
            engine=engine.name,
            order_id=order.order_id,
            number=order.number,
            epoch=order.sender.epoch,
            command=command,
        )
        response = await self._transport.send(
            f'http://{engine.address}/orders',
            body,
            lambda: isinstance(authority.check(deadline), Held),
            deadline - self._clock.now(),
        )
        match response:
            case NoResponse():
                return None
            case ControlResponse(status=HTTPStatus.ACCEPTED):
                return await self._wait_until_done(engine, order)
            case ControlResponse(status=HTTPStatus.CONFLICT):
                return None
            case ControlResponse(status=status):
                is_final = status < HTTPStatus.INTERNAL_SERVER_ERROR
                return OrderState.FAILED if is_final else None

    async def _wait_until_done(
        self,
        engine: Engine,
        order: Order,
    ) -> OrderState | None:
        deadline = self._clock.now() + _POLL_LIMIT_S
        while self._clock.now() < deadline:
            try:
                text = await self._read_order(engine, order)
            except TargetError:
                return None
            if _DONE in text:
                return OrderState.DONE
            await asyncio.sleep(_POLL_INTERVAL_S)
        return None

    async def _read_order(self, engine: Engine, order: Order) -> str:
        response = await self._targets.send(
            'GET',
            f'http://{engine.address}/orders/{order.order_id}',
            total_timeout_s=ORDER_TIMEOUT_S,
        )
        try:
            await raise_for_status(response)
            return (await read_body(response)).decode()
        finally:
            response.release()
