"""HTTP servers on configured endpoints."""

from aiohttp import web

from .settings import EndpointSettings


class HttpListener:
    """Serves an HTTP application on an endpoint."""

    def __init__(
        self,
        app: web.Application,
        endpoint: EndpointSettings,
    ) -> None:
        self._endpoint = endpoint
        self._runner = web.AppRunner(app, access_log=None)
        self._site: web.TCPSite | None = None
        self.bound_address = ''

    @property
    def advertised_address(self) -> str:
        """Return the address that clients connect to."""
        return self._endpoint.advertise or self.bound_address

    async def start(self) -> None:
        """Start listening."""
        await self._runner.setup()
        host, port = split_address(self._endpoint.listen)
        self._site = web.TCPSite(self._runner, host, port, reuse_address=True)
        await self._site.start()
        bound_port = self._runner.addresses[0][1]
        self.bound_address = f'{host}:{bound_port}'

    async def refuse_connections(self) -> None:
        """Stop listening; open connections stay open."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def close(self) -> None:
        """Close all connections."""
        await self._runner.cleanup()


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``."""
    host, _, port = address.rpartition(':')
    return host, int(port)
