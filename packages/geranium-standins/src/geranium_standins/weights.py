"""Rate-limited weight store of the platform stand-in."""

from http import HTTPStatus

from aiohttp import web

from .controls import Controls, parse_query_int, problem
from .faults import PlatformFaults
from .limits import TokenBucket
from .middleware import rate_limit_response

PIECE_BYTES = 1024 * 1024
MAX_PIECES = 1_000_000


class WeightStore:
    """Serves pieces of weights under a limit in bytes per second."""

    def __init__(self, controls: Controls[PlatformFaults]) -> None:
        self._controls = controls
        self._bucket = TokenBucket(controls.faults.weights_bytes_per_second)
        self._piece = bytes(PIECE_BYTES)
        self._served = 0
        self._refused = 0

    def routes(self) -> tuple[web.RouteDef, ...]:
        """Return the routes of the weight store."""
        return (
            web.get('/weights/{model}/{version}', self._get_piece),
            web.get('/weights', self._get_counts),
        )

    def apply(self, faults: PlatformFaults) -> None:
        """Update the rate limit from the fault switches."""
        self._bucket.change_rate(faults.weights_bytes_per_second)

    async def _get_piece(self, request: web.Request) -> web.Response:
        await self._controls.admit(request)
        index = parse_query_int(request, 'piece', 0)
        if index >= MAX_PIECES:
            return problem(HTTPStatus.NOT_FOUND, 'absent')
        if not self._bucket.take(PIECE_BYTES):
            self._refused += 1
            return rate_limit_response()
        self._served += 1
        return web.Response(body=self._piece)

    async def _get_counts(self, request: web.Request) -> web.Response:
        return web.json_response(
            {'pieces': self._served, 'refused': self._refused},
        )
