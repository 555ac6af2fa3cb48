"""The engine stand-in as a web application."""

import asyncio
import dataclasses
import random
import time
from collections.abc import AsyncIterator

from aiohttp import web

from .batching import Batch
from .cache import KvMemory
from .cache_events import CacheEventFeed
from .completion_api import CompletionApi
from .controls import Controls, parse_query_int
from .faults import EngineFaults
from .kv_api import KvApi
from .load import LoadReporter
from .loader import WeightLoader
from .logs import Log
from .order_api import OrderApi
from .order_registry import OrderRegistry
from .order_runner import OrderRunner
from .settings import MS_PER_S, EngineSettings
from .state import EngineState

TICK_S = 0.1
KEEP_ALIVE_S = 0.5
MAX_BODY_BYTES = 1 << 24
MAX_WAIT_MS = 30_000


class Engine:
    """Simulated model engine with generated text and realistic timing."""

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._controls = Controls(EngineFaults())
        self._log = Log('orders', 'requests')
        self._random = random.Random(settings.seed)
        self._state = EngineState(
            settings.model,
            settings.version,
            settings.role,
        )
        self._feed = CacheEventFeed(self._controls, self._random)
        self._memory = KvMemory(settings.kv_pieces, self._feed.add)
        self._batch = Batch(
            settings,
            self._state,
            self._memory,
            self._controls,
        )
        self._load = LoadReporter(
            settings.engine,
            self._state,
            self._batch.sequence_table,
            self._memory,
        )
        self._kv = KvApi(
            settings,
            self._state,
            self._batch,
            self._memory,
            self._controls,
            self._log,
        )

    def create_app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        completions = CompletionApi(
            self._settings,
            self._state,
            self._batch,
            self._kv.imports,
            self._controls,
            self._log,
        )
        app.add_routes(self._controls.routes())
        app.add_routes(self._log.routes())
        app.add_routes(completions.routes())
        app.add_routes(self._kv.routes())
        app.add_routes(self._create_orders().routes())
        app.add_routes(
            (
                web.get('/load', self._get_load),
                web.get('/cache-events', self._get_cache_events),
            ),
        )
        app.cleanup_ctx.append(self._run_tasks)
        return app

    def _create_orders(self) -> OrderApi:
        runner = OrderRunner(
            self._settings,
            self._state,
            self._batch,
            self._memory,
            WeightLoader(self._settings.loading, self._random),
        )
        registry = OrderRegistry(self._settings.honours_fencing)
        return OrderApi(registry, runner, self._controls, self._log)

    async def _run_tasks(self, app: web.Application) -> AsyncIterator[None]:
        tasks = (
            asyncio.create_task(self._batch.run()),
            asyncio.create_task(self._tick()),
        )
        yield
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _tick(self) -> None:
        while True:
            self._load.record_sample()
            self._keep_streams_alive()
            self._kv.exports.drop_expired()
            self._kv.imports.drop_expired()
            await asyncio.sleep(TICK_S)

    def _keep_streams_alive(self) -> None:
        cutoff = time.monotonic() - KEEP_ALIVE_S
        for sequence in self._batch.sequence_table.sequences():
            stream = sequence.stream
            if stream is not None and stream.written_at <= cutoff:
                stream.keep_alive()

    async def _get_load(self, request: web.Request) -> web.Response:
        await self._controls.admit(request)
        return web.json_response(self._load.report(self._controls))

    async def _get_cache_events(self, request: web.Request) -> web.Response:
        await self._controls.admit(request)
        after = parse_query_int(request, 'after', 0)
        wait_ms = parse_query_int(request, 'wait_ms', 0)
        deadline = time.monotonic() + min(wait_ms, MAX_WAIT_MS) / MS_PER_S
        events = await self._feed.wait_after(after, deadline)
        rows = []
        for event in events:
            row = dataclasses.asdict(event)
            row.pop('happened_at')
            row['prefix'] = int(event.prefix)
            rows.append(row)
        newest = events[-1].seq if events else after
        return web.json_response({'events': rows, 'next': newest})


def create_engine(settings: EngineSettings) -> web.Application:
    """Return an engine stand-in as a web application."""
    return Engine(settings).create_app()
