"""HTTP API of an engine's orders."""

import asyncio
from http import HTTPStatus

import pydantic
from aiohttp import web

from .controls import Controls, parse_body, problem
from .exceptions import FencedError, OrderMismatchError
from .faults import EngineFaults
from .logs import Log
from .order_documents import EngineOrderDocument
from .order_registry import EngineOrder, OrderRegistry
from .order_runner import OrderRunner

_ORDER = pydantic.TypeAdapter(EngineOrderDocument)


class OrderApi:
    """Accepts orders and executes each in a separate task."""

    def __init__(
        self,
        registry: OrderRegistry,
        runner: OrderRunner,
        controls: Controls[EngineFaults],
        log: Log,
    ) -> None:
        self._registry = registry
        self._runner = runner
        self._controls = controls
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def routes(self) -> tuple[web.RouteDef, ...]:
        """Return the routes of the orders."""
        return (
            web.post('/orders', self._order),
            web.get('/orders/{order_id}', self._get),
        )

    async def _order(self, request: web.Request) -> web.Response:
        await self._controls.admit(request)
        document = parse_body(_ORDER, await request.read())
        overlaps = self._registry.has_running
        existing = self._registry.find(document.order_id)
        entry = self._log.add(
            'orders',
            {
                **document.model_dump(mode='json'),
                'accepted': False,
                'repeated': existing is not None,
                'overlaps': overlaps,
            },
        )
        try:
            order = self._accept(document)
        except FencedError as fenced:
            return web.json_response(
                {'type': 'fenced', 'highest_epoch': fenced.highest_epoch},
                status=HTTPStatus.CONFLICT,
            )
        except OrderMismatchError:
            return problem(HTTPStatus.CONFLICT, 'order-id-reused')
        entry['accepted'] = True
        if existing is None:
            self._start(order)
            await asyncio.sleep(0)
        return _order_response(order, HTTPStatus.ACCEPTED)

    def _accept(self, document: EngineOrderDocument) -> EngineOrder:
        return self._registry.accept(
            document.order_id,
            document.epoch,
            document.order.build(),
        )

    def _start(self, order: EngineOrder) -> None:
        task = asyncio.create_task(self._runner.run(order, self._controls))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _get(self, request: web.Request) -> web.Response:
        await self._controls.admit(request)
        order = self._registry.find(request.match_info['order_id'])
        if order is None:
            return problem(HTTPStatus.NOT_FOUND, 'absent')
        return _order_response(order, HTTPStatus.OK)


def _order_response(order: EngineOrder, status: int) -> web.Response:
    body = {'order_id': order.order_id, 'state': order.state.value}
    return web.json_response(body, status=status)
