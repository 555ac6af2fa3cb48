"""Calls to an object store over HTTP, whatever its interface looks like.

Both clients of a store are built on them: that of the product's own
platform and that of the users'. They say for each call that went wrong
whether it may have taken effect.
"""

import asyncio
import dataclasses
import json
from collections.abc import Callable, Mapping
from typing import Any

import aiohttp
from geranium_coordination import AnswerLostError, UnavailableError

from .resends import send_once

CallObserver = Callable[[str, str], None]
_NO_ANSWER = (TimeoutError, aiohttp.ClientError, ConnectionError)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Where a store is and how long calls may take.

    Args:
        address: IP address and port.
        call_timeout_s: Bound on a call; a store answers within
            milliseconds while it is well.
        connect_timeout_s: Bound on a new connection.
        idle_s: An idle connection is not used after so long, since it may
            have fallen silent.
    """

    address: str
    call_timeout_s: float = 0.8
    connect_timeout_s: float = 0.5
    idle_s: float = 3


@dataclasses.dataclass(frozen=True, slots=True)
class StoreResponse:
    """A store's answer; ``raw`` is its body as it came."""

    status: int
    headers: Mapping[str, str]
    raw: bytes

    @property
    def document(self) -> Any:
        """The decoded body, ``None`` if it is not JSON.

        Bytes that are no text become marks in it.
        """
        try:
            return json.loads(self.raw.decode(errors='replace'))
        except ValueError:
            return None

    @property
    def retry_after_s(self) -> float | None:
        """When the store asks to come back, in seconds."""
        try:
            return float(self.headers['Retry-After'])
        except (KeyError, ValueError):
            return None


class StoreHttpClient:
    """Sends calls over kept connections, each at most once.

    Args:
        settings: Where the store is.
        observe: Told of each call's method and its status or error.
    """

    def __init__(
        self,
        settings: StoreSettings,
        observe: CallObserver | None = None,
    ) -> None:
        self._settings = settings
        self._observe = observe
        self._base_url = f'http://{settings.address}/'
        self._session: aiohttp.ClientSession | None = None

    async def cleanup(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def read(self, path: str, wait_s: float = 0) -> StoreResponse:
        """Send a call that changes nothing.

        Args:
            path: Path and query.
            wait_s: So long the store may hold the answer back.

        Raises:
            UnavailableError: If no answer came.
        """
        try:
            return await self._observed('GET', path, None, {}, wait_s)
        except _NO_ANSWER as error:
            raise UnavailableError(f'store: {error!r}') from error

    async def write(
        self,
        method: str,
        path: str,
        document: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> StoreResponse:
        """Send a call that changes something.

        Raises:
            UnavailableError: If the store was not reached.
            AnswerLostError: If no answer came: the call may have taken
                effect.
        """
        try:
            return await self._observed(
                method,
                path,
                document,
                headers or {},
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise UnavailableError(f'store: {error!r}') from error
        except _NO_ANSWER as error:
            raise AnswerLostError(f'store: {error!r}') from error

    async def _observed(
        self,
        method: str,
        path: str,
        document: Any,
        headers: Mapping[str, str],
        wait_s: float = 0,
    ) -> StoreResponse:
        outcome = 'cancelled'
        try:
            reply = await self._call(method, path, document, headers, wait_s)
            outcome = str(reply.status)
        except _NO_ANSWER as error:
            outcome = type(error).__name__
            raise
        finally:
            if self._observe is not None:
                self._observe(method, outcome)
        return reply

    async def _call(
        self,
        method: str,
        path: str,
        document: Any,
        headers: Mapping[str, str],
        wait_s: float,
    ) -> StoreResponse:
        body = None if document is None else json.dumps(document).encode()
        async with (
            asyncio.timeout(self._settings.call_timeout_s + wait_s),
            self._open_session().request(
                method,
                self._base_url + path,
                data=body,
                headers=headers,
            ) as response,
        ):
            raw = await response.read()
            return StoreResponse(response.status, response.headers, raw)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            settings = self._settings
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0,
                    keepalive_timeout=settings.idle_s,
                ),
                timeout=aiohttp.ClientTimeout(
                    sock_connect=settings.connect_timeout_s,
                ),
                headers={'Content-Type': 'application/json'},
                cookie_jar=aiohttp.DummyCookieJar(),
                middlewares=(send_once,),
            )
        return self._session
