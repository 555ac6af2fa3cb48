"""HTTP API of the platform's hosts, targets, orders and usage reports."""

import time
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any

import pydantic
from aiohttp import web

from .controls import Controls, parse_body, problem
from .documents import (
    STANDBY,
    EvictionDocument,
    HostRow,
    TargetOrderDocument,
    TargetRow,
    UsageReportDocument,
)
from .faults import PlatformFaults
from .fleet import Fleet, FleetTiming
from .logs import Log
from .middleware import CallKind, PlatformMiddleware
from .settings import MS_PER_S

_HOST_ROW = pydantic.TypeAdapter(HostRow)
_TARGET_ROW = pydantic.TypeAdapter(TargetRow)
_TARGET_ORDER = pydantic.TypeAdapter(TargetOrderDocument)
_USAGE_REPORT = pydantic.TypeAdapter(UsageReportDocument)
_EVICTION = pydantic.TypeAdapter(EvictionDocument)


class FleetApi:
    """Serves the fleet and logs received orders and usage reports."""

    def __init__(
        self,
        middleware: PlatformMiddleware,
        controls: Controls[PlatformFaults],
        log: Log,
    ) -> None:
        self._fleet = Fleet()
        self._middleware = middleware
        self._controls = controls
        self._log = log
        self._order_ids: set[str] = set()

    def routes(self) -> tuple[web.RouteDef, ...]:
        """Return the platform's routes and the routes for test set-up."""
        return (*self._platform_routes(), *self._setup_routes())

    def _platform_routes(self) -> Iterator[web.RouteDef]:
        wrap = self._middleware.wrap
        yield web.get('/hosts', wrap(CallKind.READ, self._list_hosts))
        yield web.get('/targets', wrap(CallKind.READ, self._list_targets))
        yield web.post(
            '/target-orders',
            wrap(CallKind.WRITE, self._order_targets),
        )
        yield web.put(
            '/usage-reports/{window}',
            wrap(CallKind.WRITE, self._report_usage),
        )

    def _setup_routes(self) -> Iterator[web.RouteDef]:
        yield web.put('/hosts/{name}', self._set_host)
        yield web.delete('/hosts/{name}', self._remove_host)
        yield web.put('/targets/{name}', self._set_target)
        yield web.delete('/targets/{name}', self._remove_target)
        yield web.post('/evict', self._evict)

    async def _list_hosts(self, request: web.Request) -> web.Response:
        lag_s = self._controls.faults.host_list_lag_ms / MS_PER_S
        rows = [
            HostRow.from_host(host).model_dump(mode='json')
            for host in self._fleet.hosts.rows(time.monotonic() - lag_s)
        ]
        return web.json_response({'hosts': rows})

    async def _list_targets(self, request: web.Request) -> web.Response:
        lag_s = self._controls.faults.target_list_lag_ms / MS_PER_S
        rows = [
            TargetRow.from_target(target).model_dump(mode='json')
            for target in self._fleet.targets.rows(time.monotonic() - lag_s)
        ]
        return web.json_response({'targets': rows})

    async def _order_targets(self, request: web.Request) -> web.Response:
        document = parse_body(_TARGET_ORDER, await request.read())
        repeated = document.order_id in self._order_ids
        self._log.add(
            'target_orders',
            {**document.model_dump(mode='json'), 'repeated': repeated},
        )
        if not repeated:
            self._order_ids.add(document.order_id)
            self._fleet.order(
                document.build(), self._timing(), time.monotonic()
            )
        return _accepted({'order_id': document.order_id})

    async def _report_usage(self, request: web.Request) -> web.Response:
        document = parse_body(_USAGE_REPORT, await request.read())
        window = request.match_info['window']
        self._log.add(
            'usage_reports',
            {'window': window, **document.model_dump(mode='json')},
        )
        return _accepted({'report_id': document.report_id})

    async def _set_host(self, request: web.Request) -> web.Response:
        row = parse_body(_HOST_ROW, await request.read())
        host = row.build(request.match_info['name'])
        self._fleet.hosts.set_row(host.name, host, time.monotonic())
        return _no_content()

    async def _remove_host(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        now = time.monotonic()
        if self._fleet.hosts.row(name, now) is None:
            return problem(HTTPStatus.NOT_FOUND, 'absent')
        self._fleet.hosts.set_row(name, None, now)
        return _no_content()

    async def _set_target(self, request: web.Request) -> web.Response:
        row = parse_body(_TARGET_ROW, await request.read())
        target = row.build(request.match_info['name'])
        now = time.monotonic()
        if row.state == STANDBY:
            self._fleet.add_standby(target, self._timing(), now)
        else:
            self._fleet.set_target(target, now)
        return _no_content()

    async def _remove_target(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        if self._fleet.remove_target(name, time.monotonic()):
            return _no_content()
        return problem(HTTPStatus.NOT_FOUND, 'absent')

    async def _evict(self, request: web.Request) -> web.Response:
        document = parse_body(_EVICTION, await request.read())
        evicted = self._fleet.evict(
            document.zone,
            document.purchase,
            self._timing(),
            time.monotonic(),
        )
        return web.json_response({'targets': evicted})

    def _timing(self) -> FleetTiming:
        faults = self._controls.faults
        return FleetTiming(
            faults.start_delay_ms / MS_PER_S,
            faults.leave_notice_ms / MS_PER_S,
        )


def _accepted(body: dict[str, Any]) -> web.Response:
    return web.json_response(body, status=HTTPStatus.ACCEPTED)


def _no_content() -> web.Response:
    return web.Response(status=HTTPStatus.NO_CONTENT)
