"""HTTP client for object stores, independent of the store's API.

Both store clients are built on it: the one for the product's own platform
and the one for the users' platform. For each failed call, the error type
shows whether the call may have taken effect.
"""

import asyncio
import dataclasses
import json
import math
from collections.abc import Callable, Mapping
from typing import Any

import aiohttp
from geranium_coordination import AnswerLostError, UnavailableError

from .http_connections import CallConnector
from .json_bodies import decode_body
from .response_checks import ResponseTooLongError, read_body

CallObserver = Callable[[str, str], None]
_NO_RESPONSE_ERRORS = (TimeoutError, aiohttp.ClientError, ConnectionError)


class TooLongError(UnavailableError):
    """A response of the store is longer than ``max_response_bytes``."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Address and timeouts of a store.

    Args:
        address: IP address and port.
        call_timeout_s: Timeout of a call; a healthy store responds within
            milliseconds.
        connect_timeout_s: Timeout of a new connection.
        max_response_bytes: Maximum size of a body. A page of a list has about
            1 MB.
        idle_s: Maximum idle time of a reused connection, since it may be
            dead without notice.
    """

    address: str
    call_timeout_s: float = 0.8
    connect_timeout_s: float = 0.5
    max_response_bytes: int = 8_388_608
    idle_s: float = 3


@dataclasses.dataclass(frozen=True, slots=True)
class StoreResponse:
    """A store's response; ``raw`` is its undecoded body."""

    status: int
    headers: Mapping[str, str]
    raw: bytes

    @property
    def document(self) -> Any:
        """The decoded body, or ``None`` if it is not JSON.

        Values that can't be decoded are replaced, see :func:`decode_body`.
        """
        try:
            return decode_body(self.raw)
        except ValueError:
            return None

    @property
    def retry_after_s(self) -> float | None:
        """The retry delay that the store asks for, in seconds.

        ``None`` if it is negative or not finite.
        """
        try:
            delay_s = float(self.headers['Retry-After'])
        except (KeyError, ValueError):
            return None
        return delay_s if 0 <= delay_s < math.inf else None


class StoreHttpClient:
    """Sends calls over persistent connections, each at most once.

    A write that is given up does not arrive later, when newer ones have been
    made.

    Responses don't name their call. A failure is therefore the last response
    on its connection: a late copy of it would be taken for that of a later
    call. Copies of successes are for the users of the responses to tell.

    Args:
        settings: Address and timeouts of the store.
        observe: Called with each call's method and its status or error.
    """

    def __init__(
        self,
        settings: StoreSettings,
        observe: CallObserver | None = None,
    ) -> None:
        self._settings = settings
        self._observe = observe
        self._base_url = f'http://{settings.address}/'
        self._connector: CallConnector | None = None
        self._session: aiohttp.ClientSession | None = None

    async def cleanup(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def read(self, path: str, wait_s: float = 0) -> StoreResponse:
        """Send a call that changes nothing.

        Args:
            path: Path and query.
            wait_s: How long the store may delay the response.

        Raises:
            TooLongError: If the response is too long.
            UnavailableError: If there was no response.
        """
        try:
            return await self._observed('GET', path, None, {}, wait_s)
        except ResponseTooLongError as error:
            raise TooLongError(f'store: {error}') from error
        except _NO_RESPONSE_ERRORS as error:
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
            AnswerLostError: If there was no response: the call may have
                taken effect.
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
        except _NO_RESPONSE_ERRORS as error:
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
            response = await self._call(method, path, document, headers, wait_s)
            outcome = str(response.status)
        except _NO_RESPONSE_ERRORS as error:
            outcome = type(error).__name__
            raise
        finally:
            if self._observe is not None:
                self._observe(method, outcome)
        return response

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
            raw = await read_body(response, self._settings.max_response_bytes)
            if not response.ok and self._connector is not None:
                self._connector.use_for(response).retire(response)
            return StoreResponse(response.status, response.headers, raw)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            settings = self._settings
            self._connector = CallConnector(None, settings.idle_s, resets=True)
            self._session = aiohttp.ClientSession(
                connector=self._connector,
                timeout=aiohttp.ClientTimeout(
                    sock_connect=settings.connect_timeout_s,
                ),
                headers={'Content-Type': 'application/json'},
                cookie_jar=aiohttp.DummyCookieJar(),
                middlewares=(self._connector.send_once,),
            )
        return self._session
