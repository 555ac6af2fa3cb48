"""The platform stand-in as a web application."""

import dataclasses

from aiohttp import web

from .controls import Controls
from .faults import PlatformFaults
from .fleet_api import FleetApi
from .logs import Log
from .middleware import PlatformMiddleware
from .object_api import MAX_VALUE_BYTES, ObjectApi
from .objects import ObjectTable
from .weights import WeightStore

MAX_BODY_BYTES = 2 * MAX_VALUE_BYTES


class Platform:
    """Serves objects, hosts, targets, usage reports and weights.

    Fault switches apply to all of them.
    """

    def __init__(self) -> None:
        self._table = ObjectTable()
        self._controls = Controls(PlatformFaults(), self._apply)
        self._middleware = PlatformMiddleware(self._controls)
        self._log = Log('target_orders', 'usage_reports', 'writes')
        self._weights = WeightStore(self._controls)

    def create_app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        object_api = ObjectApi(
            self._table,
            self._middleware,
            lambda: self._controls.faults.outage,
            self._log_write,
        )
        fleet_api = FleetApi(self._middleware, self._controls, self._log)
        app.add_routes(self._controls.routes())
        app.add_routes(self._log.routes())
        app.add_routes(object_api.routes())
        app.add_routes(fleet_api.routes())
        app.add_routes(self._weights.routes())
        app.add_routes((web.get('/stats', self._get_stats),))
        return app

    def _apply(self, faults: PlatformFaults) -> None:
        self._middleware.apply(faults)
        self._weights.apply(faults)
        if faults.outage:
            self._table.wake_all()

    def _log_write(self, key: str, version: int, operation: str) -> None:
        self._log.add(
            'writes',
            {'key': key, 'version': version, 'operation': operation},
        )

    async def _get_stats(self, request: web.Request) -> web.Response:
        return web.json_response(dataclasses.asdict(self._middleware.counts))


def create_platform() -> web.Application:
    """Return a platform stand-in as a web application."""
    return Platform().create_app()
