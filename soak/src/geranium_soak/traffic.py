"""Callers that send requests for as long as a run lasts."""

import asyncio
import itertools
import random

import aiohttp
from geranium_platform_standins import (
    FORGEABLE_HEADERS,
    FORGED_VALUE,
    SIGNATURE,
    caller_headers,
    mark_path,
)
from geranium_relay import ConnectionLostError, send_once

from .host_process import HostProcess
from .observations import (
    Answered,
    Cut,
    End,
    Kind,
    Left,
    Sent,
    Unreached,
    now,
)
from .world import World

DEADLINE_MS = 2500
GIVE_UP_S = 4  # beyond the deadline and a route's time-out
THINK_S = (0.02, 0.25)
LEAVES_SHARE = 0.04  # of the requests are left by their caller
LEAVES_AFTER_S = (0.02, 0.3)
FORGES_SHARE = 0.1  # of the requests carry headers that callers may not set
FORGOTTEN_KEY_SHARE = 0.15  # of the requests come with a key taken away
FORGOTTEN_KEYS = 8  # the last ones, half of which must have stopped working
RESOLVE_EVERY = 10  # requests between two questions to the directory
PROBE_EVERY_S = 0.3
KINDS = tuple(Kind)
PROMPT_KINDS = frozenset((Kind.STREAM, Kind.RESUMABLE))
SHARED_PARTS = 12  # beginnings that prompts share
ID_BITS = 32  # of an id are drawn, so that no two runs share one
MOST_BODY_BYTES = 600


class Traffic:
    """Sends requests of many callers and notes how they end."""

    def __init__(self, world: World, seed: int) -> None:
        self._world = world
        self._seed = seed
        self._numbers = itertools.count()

    async def run(self, callers: int) -> None:
        """Send until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number in range(callers):
                source = random.Random(f'{self._seed}/{number}')
                group.create_task(self._call_on(source))
            for host in self._world.hosts:
                group.create_task(self._probe(host))

    async def _call_on(self, source: random.Random) -> None:
        async with _client() as client:
            hosts: list[HostProcess] = []
            for turn in itertools.count():
                if turn % RESOLVE_EVERY == 0 or not hosts:
                    hosts = await self._resolve(client, source) or hosts
                await asyncio.sleep(source.uniform(*THINK_S))
                if hosts:
                    sent = self._draw(source, source.choice(hosts))
                    leaves = source.random() < LEAVES_SHARE
                    await self._send(client, sent, source, leaves=leaves)

    async def _resolve(
        self,
        client: aiohttp.ClientSession,
        source: random.Random,
    ) -> list[HostProcess]:
        """Ask a host where to connect; empty if it did not say."""
        asked = source.choice(self._world.hosts).place.directory
        try:
            async with (
                asyncio.timeout(1),
                client.get(
                    f'http://{asked}/resolve',
                    params={'name': 'soak.example', 'zone': 'a'},
                ) as response,
            ):
                document = await response.json(content_type=None)
        except (aiohttp.ClientError, OSError, ValueError):
            return []
        addresses = set((document or {}).get('addresses', ()))
        return [
            host for host in self._world.hosts if host.place.front in addresses
        ]

    async def _probe(self, host: HostProcess) -> None:
        """Try the routes of the newest version and of the one before."""
        source = random.Random(f'{self._seed}/{host.name}')
        async with _client() as client:
            while True:
                await asyncio.sleep(PROBE_EVERY_S)
                version = self._world.version
                for marks in (version, version - 1):
                    sent = self._make(
                        Kind.SAFE,
                        mark_path(marks),
                        host,
                        source,
                        marks,
                    )
                    await self._send(client, sent, source)

    def _draw(self, source: random.Random, host: HostProcess) -> Sent:
        kind = source.choice(KINDS)
        return self._make(kind, f'/{kind.value}/', host, source, None)

    def _make(
        self,
        kind: Kind,
        prefix: str,
        host: HostProcess,
        source: random.Random,
        marks: int | None,
    ) -> Sent:
        number = next(self._numbers)
        drawn = source.getrandbits(ID_BITS)
        identity = f'{number}x{drawn}'
        team, key = self._choose_key(source)
        return Sent(
            identity,
            kind,
            f'{prefix}{number}',
            source.randbytes(source.randrange(1, MOST_BODY_BYTES)),
            key,
            team,
            host.name,
            host.incarnation,
            now(),
            marks,
        )

    def _choose_key(self, source: random.Random) -> tuple[str, str]:
        withdrawn = self._world.withdrawn[-FORGOTTEN_KEYS:]
        if withdrawn and source.random() < FORGOTTEN_KEY_SHARE:
            return source.choice(withdrawn)
        return source.choice(sorted(self._world.key_by_team.items()))

    async def _send(
        self,
        client: aiohttp.ClientSession,
        sent: Sent,
        source: random.Random,
        *,
        leaves: bool = False,
    ) -> None:
        ledger = self._world.ledger
        ledger.sent_by_id[sent.identity] = sent
        limit_s = source.uniform(*LEAVES_AFTER_S) if leaves else GIVE_UP_S
        forges = source.random() < FORGES_SHARE
        ledger.end_by_id[sent.identity] = await _outcome(
            client,
            self._address(sent),
            sent,
            limit_s,
            forges=forges,
        )

    def _address(self, sent: Sent) -> str:
        return next(
            host.place.front
            for host in self._world.hosts
            if host.name == sent.host
        )


async def _outcome(
    client: aiohttp.ClientSession,
    address: str,
    sent: Sent,
    limit_s: float,
    *,
    forges: bool,
) -> End:
    reached = False
    try:
        async with (
            asyncio.timeout(limit_s),
            client.post(
                _url(address, sent),
                data=sent.body,
                headers=_headers(sent, forges=forges),
            ) as response,
        ):
            reached = True
            body = await response.read()
            signature = response.headers.get(SIGNATURE)
            return Answered(response.status, signature, body, now())
    except TimeoutError:
        return Left(now())
    except aiohttp.ClientConnectorError:
        return Unreached(now())
    except (
        aiohttp.ClientError,
        ConnectionLostError,
        ConnectionError,
    ) as error:
        where = 'in the answer' if reached else 'before the answer'
        return Cut(f'{where}: {error!r}', now())


def _url(address: str, sent: Sent) -> str:
    return f'http://{address}{sent.path}'


def _headers(sent: Sent, *, forges: bool) -> dict[str, str]:
    prompt = None
    if sent.kind in PROMPT_KINDS:
        part = sum(sent.body) % SHARED_PARTS
        prompt = f'5a{part}'
    headers = caller_headers(
        sent.identity,
        sent.key,
        DEADLINE_MS,
        prompt=prompt,
    )
    if forges:
        forged = {name: FORGED_VALUE for name in FORGEABLE_HEADERS}
        headers = {**forged, **headers}
    return headers


def _client() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=10),
        middlewares=(send_once,),
        skip_auto_headers=('Content-Type',),
    )
