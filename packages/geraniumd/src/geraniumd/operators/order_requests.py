"""Stores operators' orders to engines and waits for their execution."""

import asyncio

from geranium_coordination import AnswerLostError, StoreError
from geranium_model import Engine
from geranium_statements import (
    EngineOrder,
    Table,
    build_table,
    engine_command,
    format_statement,
)

from ..backends import command_body
from ..process import OperatorRefusedError, OperatorUnavailableError, get_logger
from ..state import Context, EngineIntent
from .requests import OperatorRequest

_WAIT_S = 15
_POLL_INTERVAL_S = 0.5
_STILL_WAITING = 'it goes on; "show orders" tells when it is done'


class EngineOrderRequests:
    """Stores orders as intents, which the service's director executes."""

    def __init__(self, context: Context) -> None:
        self._fleet = context.fleet
        self._intents = context.intents
        self._clock = context.clock
        self._log = get_logger()

    async def order(
        self,
        statement: EngineOrder,
        request: OperatorRequest,
    ) -> Table:
        """Store a statement's order and wait until it is executed.

        After ``_WAIT_S`` seconds, the table says that the order is waiting.

        Raises:
            OperatorError: If the order was not stored, or may not have been.
        """
        intent = self._intent(statement, request)
        await self._add(intent)
        self._log.info(
            'engine_order_taken',
            author=request.author,
            order_id=intent.order_id,
            statement=format_statement(statement),
        )
        is_executed = await self._wait_executed(intent)
        columns = ('engine', 'order', 'state')
        if is_executed:
            row = (intent.engine, intent.order_id, 'done')
            return build_table(columns, (row,))
        row = (intent.engine, intent.order_id, 'waiting')
        return build_table(columns, (row,), (_STILL_WAITING,))

    def _intent(
        self,
        statement: EngineOrder,
        request: OperatorRequest,
    ) -> EngineIntent:
        entry = self._fleet.entries_by_name.get(statement.engine)
        if entry is None or not isinstance(entry.target, Engine):
            raise OperatorRefusedError(f'no engine {statement.engine!r}')
        return EngineIntent(
            engine=entry.name,
            service=entry.target.service,
            order_id=request.operation_id,
            author=request.author,
            command=command_body(engine_command(statement)),
        )

    async def _add(self, intent: EngineIntent) -> None:
        try:
            await self._intents.add(intent)
        except AnswerLostError as error:
            raise OperatorUnavailableError(
                'the platform did not answer; the order may have been taken: '
                f'send it again with operation id {intent.order_id}',
            ) from error
        except StoreError as error:
            raise OperatorUnavailableError(
                f'the order was not taken: {error}',
            ) from error

    async def _wait_executed(self, intent: EngineIntent) -> bool:
        deadline = self._clock.now() + _WAIT_S
        while self._clock.now() < deadline:
            try:
                if not await self._intents.is_pending(intent):
                    return True
            except StoreError as error:
                self._log.warning('intent_not_read', error=str(error))
            await asyncio.sleep(_POLL_INTERVAL_S)
        return False
