"""Client of the stand-ins for tests and experiments."""

import asyncio
import dataclasses
import json
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any

import aiohttp

from .exceptions import ConnectionLostError, StandinError
from .logs import LogEntry
from .records import StreamRecord

POLL_S = 0.01
WAIT_TIMEOUT_S = 20


@dataclasses.dataclass(frozen=True, slots=True)
class StandinResponse:
    """Response whose body was read completely."""

    status: int
    headers: Mapping[str, str]
    text: bytes

    @property
    def version(self) -> int:
        """Object version from the ``ETag`` header."""
        return int(self.headers['ETag'].strip('"'))

    def json(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.text)


async def send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Client middleware that disables automatic retries.

    ``aiohttp`` resends a PUT, DELETE or GET if the connection breaks before
    the response, which would hide a lost response. With this middleware the
    call fails instead.

    Raises:
        ConnectionLostError: If an established connection breaks.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(str(error)) from error


class StandinClient:
    """Client of one stand-in.

    Args:
        session: HTTP session. Needs :func:`send_once` among its
            middlewares to detect lost responses.
        address: The stand-in's ``host:port``.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.address = address
        self._session = session

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> StandinResponse:
        """Send a JSON body and return the response.

        Raises:
            aiohttp.ClientError: If the connection fails.
        """
        async with self._session.request(
            method,
            f'http://{self.address}{path}',
            json=body,
            headers=headers,
        ) as response:
            text = await response.read()
            return StandinResponse(response.status, response.headers, text)

    async def get(self, path: str) -> StandinResponse:
        """Send a GET request and return the response."""
        return await self.call('GET', path)

    async def put(
        self,
        path: str,
        body: Any,
        headers: Mapping[str, str] | None = None,
    ) -> StandinResponse:
        """Send a PUT request and return the response."""
        return await self.call('PUT', path, body, headers)

    async def post(
        self,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> StandinResponse:
        """Send a POST request and return the response."""
        return await self.call('POST', path, body, headers)

    async def set_faults(self, **faults: Any) -> None:
        """Replace the fault switches; omitted switches are off.

        Raises:
            StandinError: If a switch is unknown or malformed.
        """
        answer = await self.put('/faults', faults)
        if answer.status != HTTPStatus.NO_CONTENT:
            raise StandinError(answer.text.decode())

    async def log(self, section: str) -> list[LogEntry]:
        """Return the entries of one section of the stand-in's log."""
        entries: list[LogEntry] = (await self.get('/log')).json()[section]
        return entries

    async def wait_for(
        self,
        path: str,
        condition: Callable[[Any], bool],
        timeout_s: float = WAIT_TIMEOUT_S,
    ) -> Any:
        """Poll a path until its JSON body meets the condition; return it.

        Raises:
            TimeoutError: If the condition is not met within the timeout.
        """
        async with asyncio.timeout(timeout_s):
            body = (await self.get(path)).json()
            while not condition(body):
                await asyncio.sleep(POLL_S)
                body = (await self.get(path)).json()
            return body

    async def complete(
        self,
        body: Any,
        request_id: str,
        headers: Mapping[str, str] | None = None,
        path: str = '/v1/completions',
        record: StreamRecord | None = None,
    ) -> StreamRecord:
        """Request a completion and read its stream until it ends or is reset.

        A ``record`` passed by the caller is updated while the stream is read.
        """
        record = record or StreamRecord()
        try:
            async with self._session.post(
                f'http://{self.address}{path}',
                json=body,
                headers={'Request-Id': request_id, **(headers or {})},
            ) as response:
                record.status = response.status
                async for line in response.content:
                    record.add_line(line.decode().strip())
        except aiohttp.ClientPayloadError:
            record.was_reset = True
        return record
