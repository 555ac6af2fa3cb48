"""Takes operators' orders to engines and waits for their end."""

import asyncio

from geranium_coordination import AnswerLostError, StoreError
from geranium_model import Engine
from geranium_statements import (
    EngineOrder,
    Table,
    build_table,
    describe,
    engine_command,
)

from ..backends import command_body
from ..process import OperatorRefusedError, OperatorUnavailableError, get_logger
from ..state import Context, EngineIntent
from .requests import OperatorRequest

_WAIT_S = 15
_POLL_INTERVAL_S = 0.5
_GOES_ON = 'it goes on; "show orders" tells when it is done'


class EngineOrderRequests:
    """Writes an operator's order down for the engine's director."""

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
        """Order what the statement says; return once done, or with a note.

        Raises:
            OperatorError: If it was not taken.
        """
        intent = self._intent(statement, request)
        await self._add(intent)
        self._log.info(
            'engine_order_taken',
            author=request.author,
            order_id=intent.order_id,
            statement=describe(statement),
        )
        is_done = await self._wait_done(intent)
        columns = ('engine', 'order', 'state')
        if is_done:
            row = (intent.engine, intent.order_id, 'done')
            return build_table(columns, (row,))
        row = (intent.engine, intent.order_id, 'waiting')
        return build_table(columns, (row,), (_GOES_ON,))

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

    async def _wait_done(self, intent: EngineIntent) -> bool:
        deadline = self._clock.now() + _WAIT_S
        while self._clock.now() < deadline:
            try:
                if not await self._intents.is_pending(intent):
                    return True
            except StoreError as error:
                self._log.warning('intent_not_read', error=str(error))
            await asyncio.sleep(_POLL_INTERVAL_S)
        return False
