"""A client of the stand-ins for tests and experiments."""

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
    """An answer that was read whole."""

    status: int
    headers: Mapping[str, str]
    text: bytes

    @property
    def version(self) -> int:
        """The version in the ``ETag``."""
        return int(self.headers['ETag'].strip('"'))

    def json(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.text)


async def send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Client middleware against silent resends.

    A session sends a PUT, DELETE or GET again by itself if the connection
    breaks before the response, which would hide a lost answer. Behind this
    middleware it fails instead.

    Raises:
        ConnectionLostError: If the connection breaks after it was made.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(str(error)) from error


class StandinClient:
    """Calls one stand-in.

    Args:
        session: The session that it calls through, with :func:`send_once`
            among its middlewares if lost answers are to show.
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
        """Return the answer to a GET."""
        return await self.call('GET', path)

    async def put(
        self,
        path: str,
        body: Any,
        headers: Mapping[str, str] | None = None,
    ) -> StandinResponse:
        """Return the answer to a PUT."""
        return await self.call('PUT', path, body, headers)

    async def post(
        self,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> StandinResponse:
        """Return the answer to a POST."""
        return await self.call('POST', path, body, headers)

    async def set_faults(self, **faults: Any) -> None:
        """Replace the fault switches; those left out are off.

        Raises:
            StandinError: If a switch is unknown or malformed.
        """
        answer = await self.put('/faults', faults)
        if answer.status != HTTPStatus.NO_CONTENT:
            raise StandinError(answer.text.decode())

    async def log(self, section: str) -> list[LogEntry]:
        """Return a list of the stand-in's log."""
        entries: list[LogEntry] = (await self.get('/log')).json()[section]
        return entries

    async def wait_for(
        self,
        path: str,
        condition: Callable[[Any], bool],
        timeout_s: float = WAIT_TIMEOUT_S,
    ) -> Any:
        """Get the path until the JSON there meets the condition; return it.

        Raises:
            TimeoutError: If it does not in time.
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
        """Read a completion's stream until it ends or is reset.

        A ``record`` that is passed in fills while the stream is read.
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
