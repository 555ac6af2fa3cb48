"""Client of the operator API of a deployment's daemons."""

from collections.abc import Callable
from typing import Any

import aiohttp

OPERATOR_TOKEN = 'deployment-operator'

UrlBuilder = Callable[[str, str], str]


class DeploymentOperator:
    """Calls the operator API of a deployment.

    ``build_url`` returns the URL of a path in a host's operator API.
    """

    def __init__(
        self, http: aiohttp.ClientSession, build_url: UrlBuilder
    ) -> None:
        self._http = http
        self._build_url = build_url
        self._headers = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}

    async def execute(self, statement: str, host: str = 'host-1') -> Any:
        """Execute a statement and return the decoded response.

        Raises:
            aiohttp.ClientResponseError: If the statement is refused.
        """
        async with self._http.post(
            self._build_url(host, '/statements'),
            json={'statement': statement},
            headers=self._headers,
            raise_for_status=True,
        ) as response:
            return await response.json()

    async def create_key(self, key_id: str, team: str = 'registry') -> str:
        """Create a key and return its secret."""
        answer = await self.execute(f'create key {key_id} for team {team}')
        secret_column = answer['columns'].index('secret')
        return str(answer['rows'][0][secret_column])

    async def load_configuration(self, document: Any) -> None:
        """Replace the configuration."""
        async with self._http.put(
            self._build_url('host-1', '/configuration'),
            json=document,
            headers=self._headers,
            raise_for_status=True,
        ):
            return

    async def register_host(
        self, platform_url: str, host: str, zone: str
    ) -> None:
        """Add an entry host to the platform's host list."""
        row = {'host': host, 'zone': zone, 'kind': 'entry', 'state': 'live'}
        async with self._http.put(
            f'{platform_url}/hosts/{host}',
            json=row,
            raise_for_status=True,
        ):
            return
