"""Rate limits, faults and call counts of the platform API."""

import asyncio
import dataclasses
import enum
import functools
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TypeAlias

from aiohttp import web

from .connections import drop_connection, hang
from .controls import Controls, problem
from .faults import PlatformFaults
from .limits import TokenBucket
from .settings import MS_PER_S

Handler: TypeAlias = Callable[[web.Request], Awaitable[web.Response]]

RETRY_AFTER_S = 1


class CallKind(enum.Enum):
    """Category under which a call is counted."""

    READ = 'reads'
    WRITE = 'writes'
    WATCH = 'watches'


@dataclasses.dataclass(slots=True)
class CallCounts:
    """Calls since the start; refused calls count only as ``refused``."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    refused: int = 0

    def add(self, kind: CallKind) -> None:
        """Count an admitted call."""
        setattr(self, kind.value, getattr(self, kind.value) + 1)


class PlatformMiddleware:
    """Applies rate limits and faults to the platform's calls.

    A watch takes one unit of the read limit when it starts.
    """

    def __init__(self, controls: Controls[PlatformFaults]) -> None:
        self.counts = CallCounts()
        self._controls = controls
        faults = controls.faults
        self._reads = TokenBucket(faults.reads_per_second)
        self._writes = TokenBucket(faults.writes_per_second)
        self._running_writes: set[asyncio.Task[web.Response]] = set()

    def wrap(self, kind: CallKind, handler: Handler) -> Handler:
        """Return the handler wrapped with limits and faults."""
        return functools.partial(self._handle_call, kind, handler)

    def apply(self, faults: PlatformFaults) -> None:
        """Update the rate limits from the fault switches."""
        self._reads.change_rate(faults.reads_per_second)
        self._writes.change_rate(faults.writes_per_second)

    async def _handle_call(
        self,
        kind: CallKind,
        handler: Handler,
        request: web.Request,
    ) -> web.Response:
        await self._controls.admit(request)
        if kind is not CallKind.WRITE:
            return await self._run(kind, handler, request)
        await request.read()
        response = await self._run_shielded(handler, request)
        if response.status < HTTPStatus.BAD_REQUEST:
            return await self._respond_to_write(request, response)
        return response

    async def _run_shielded(
        self,
        handler: Handler,
        request: web.Request,
    ) -> web.Response:
        # A slow write takes effect even if its caller disconnects.
        running = self._run(CallKind.WRITE, handler, request)
        task = asyncio.create_task(running)
        self._running_writes.add(task)
        task.add_done_callback(self._running_writes.discard)
        return await asyncio.shield(task)

    async def _run(
        self,
        kind: CallKind,
        handler: Handler,
        request: web.Request,
    ) -> web.Response:
        half_delay_s = self._controls.faults.delay_ms / MS_PER_S / 2
        await asyncio.sleep(half_delay_s)
        actual = CallKind.WATCH if 'watch' in request.query else kind
        response = self._refuse(actual)
        if response is None:
            response = await handler(request)
        await asyncio.sleep(half_delay_s)
        return response

    def _refuse(self, kind: CallKind) -> web.Response | None:
        if self._controls.faults.outage:
            self.counts.refused += 1
            return outage_response()
        bucket = self._writes if kind is CallKind.WRITE else self._reads
        if bucket.take():
            self.counts.add(kind)
            return None
        self.counts.refused += 1
        return rate_limit_response()

    async def _respond_to_write(
        self,
        request: web.Request,
        response: web.Response,
    ) -> web.Response:
        if not self._controls.consume('lose_answers'):
            return response
        if self._controls.faults.lost_answers_hang:
            await hang()
        return drop_connection(request)


def outage_response() -> web.Response:
    """Return the response during an outage."""
    return problem(HTTPStatus.SERVICE_UNAVAILABLE, 'outage')


def rate_limit_response() -> web.Response:
    """Return the 429 response with ``Retry-After``."""
    response = problem(HTTPStatus.TOO_MANY_REQUESTS, 'rate')
    response.headers['Retry-After'] = str(RETRY_AFTER_S)
    return response
