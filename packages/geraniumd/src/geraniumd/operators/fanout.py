"""Queries other hosts for their part of a statement's result."""

import asyncio
import dataclasses

import aiohttp
import pydantic
from geranium_statements import HostResponse, NoResponse
from geranium_statements.responses import table_from_json

from ..hosts import HostDirectory, Presence

_TIMEOUT_S = 2
STATEMENTS_PATH = '/operator/v1/statements'
SCOPE_PARAMETER = 'scope'
HOST_SCOPE = 'host'


@dataclasses.dataclass(frozen=True, slots=True)
class HostQuery:
    """A statement for other hosts with the requesting operator's token."""

    statement: str
    token: str


class Fanout:
    """Sends statements to other hosts and collects their responses."""

    def __init__(self, directory: HostDirectory) -> None:
        self._directory = directory
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def query_all(
        self,
        query: HostQuery,
    ) -> tuple[HostResponse | NoResponse, ...]:
        """Return each host's table, or why there is none."""
        session = self._open_session()
        responses = await asyncio.gather(
            *(
                _query_host(session, peer, query)
                for peer in self._directory.peers()
            ),
        )
        return tuple(responses)

    async def query_host(
        self,
        host: str,
        query: HostQuery,
    ) -> HostResponse | NoResponse:
        """Return one host's table, or why there is none."""
        for peer in self._directory.peers():
            if peer.host == host:
                session = self._open_session()
                return await _query_host(session, peer, query)
        return NoResponse(host, 'it is not known')

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            )
        return self._session


async def _query_host(
    session: aiohttp.ClientSession,
    peer: Presence,
    query: HostQuery,
) -> HostResponse | NoResponse:
    try:
        async with session.post(
            f'http://{peer.operator_address}{STATEMENTS_PATH}',
            params={SCOPE_PARAMETER: HOST_SCOPE},
            json={'statement': query.statement},
            headers={'Authorization': f'Bearer {query.token}'},
        ) as response:
            response.raise_for_status()
            table = table_from_json(await response.json())
    except TimeoutError:
        return NoResponse(peer.host, f'silent for {_TIMEOUT_S} s')
    except (aiohttp.ClientError, pydantic.ValidationError) as error:
        return NoResponse(peer.host, str(error))
    return HostResponse(peer.host, table)
