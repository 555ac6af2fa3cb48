"""Load generation by concurrent callers and by probes."""

import asyncio
import dataclasses
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

from .environment import Environment
from .host_process import HostProcess
from .observations import (
    CallerLeft,
    ConnectionCut,
    Outcome,
    RequestKind,
    Response,
    SentRequest,
    Unreachable,
    now,
)

DEADLINE_MS = 2500
CLIENT_TIMEOUT_S = 4  # longer than the deadline and the timeouts of the routes
THINK_TIME_S = (0.02, 0.25)
DISCONNECT_SHARE = 0.04  # of the requests are abandoned by their caller
DISCONNECT_AFTER_S = (0.02, 0.3)
FORGED_HEADERS_SHARE = 0.1  # of the requests carry headers reserved for hosts
WITHDRAWN_KEY_SHARE = 0.15  # of the requests use a withdrawn key
MAX_WITHDRAWN_KEYS = 8  # the latest; about half of them must be rejected
REQUESTS_PER_RESOLVE = 10  # between two queries to the directory
PROBE_INTERVAL_S = 0.3
KINDS = tuple(RequestKind)
PROMPT_KINDS = frozenset((RequestKind.STREAM, RequestKind.RESUMABLE))
SHARED_PREFIXES = 12  # distinct prefixes of the prompts
EVENT_END = b'\n\n'
ID_BITS = 32  # random bits of an id, to make it unique across runs
MAX_BODY_BYTES = 600


class Traffic:
    """Sends requests of many callers and records their outcomes."""

    def __init__(self, environment: Environment, seed: int) -> None:
        self._environment = environment
        self._seed = seed
        self._numbers = itertools.count()

    async def run(self, callers: int) -> None:
        """Send requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number in range(callers):
                source = random.Random(f'{self._seed}/{number}')
                group.create_task(self._run_caller(source))
            for host in self._environment.hosts:
                group.create_task(self._probe(host))

    async def _run_caller(self, source: random.Random) -> None:
        async with _client() as client:
            hosts: list[HostProcess] = []
            for turn in itertools.count():
                if turn % REQUESTS_PER_RESOLVE == 0 or not hosts:
                    found = await resolve_hosts(
                        client, self._environment.hosts, source
                    )
                    hosts = found or hosts
                await asyncio.sleep(source.uniform(*THINK_TIME_S))
                if hosts:
                    sent = self._draw_request(source, source.choice(hosts))
                    leaves = source.random() < DISCONNECT_SHARE
                    outcome = await self._send(
                        client, sent, source, leaves=leaves
                    )
                    await self._take_up(client, sent, outcome, source, hosts)

    async def _probe(self, host: HostProcess) -> None:
        """Request the routes of the current and of the previous version."""
        source = random.Random(f'{self._seed}/{host.name}')
        async with _client() as client:
            while True:
                await asyncio.sleep(PROBE_INTERVAL_S)
                version = self._environment.version
                for probed_version in (version, version - 1):
                    sent = self._make_request(
                        RequestKind.SAFE,
                        mark_path(probed_version),
                        host,
                        source,
                        probed_version,
                    )
                    await self._send(client, sent, source)

    def _draw_request(
        self, source: random.Random, host: HostProcess
    ) -> SentRequest:
        kind = source.choice(KINDS)
        return self._make_request(kind, f'/{kind.value}/', host, source, None)

    def _make_request(
        self,
        kind: RequestKind,
        prefix: str,
        host: HostProcess,
        source: random.Random,
        probed_version: int | None,
    ) -> SentRequest:
        number = next(self._numbers)
        drawn = source.getrandbits(ID_BITS)
        identity = f'{number}x{drawn}'
        team, key = self._choose_key(source)
        return SentRequest(
            identity,
            kind,
            f'{prefix}{number}',
            source.randbytes(source.randrange(1, MAX_BODY_BYTES)),
            key,
            team,
            host.name,
            host.incarnation,
            now(),
            probed_version,
        )

    def _choose_key(self, source: random.Random) -> tuple[str, str]:
        withdrawn = self._environment.withdrawn[-MAX_WITHDRAWN_KEYS:]
        if withdrawn and source.random() < WITHDRAWN_KEY_SHARE:
            return source.choice(withdrawn)
        return source.choice(sorted(self._environment.key_by_team.items()))

    async def _send(
        self,
        client: aiohttp.ClientSession,
        sent: SentRequest,
        source: random.Random,
        *,
        leaves: bool = False,
    ) -> Outcome:
        ledger = self._environment.ledger
        ledger.sent_by_id[sent.identity] = sent
        limit_s = (
            source.uniform(*DISCONNECT_AFTER_S) if leaves else CLIENT_TIMEOUT_S
        )
        forges = source.random() < FORGED_HEADERS_SHARE
        outcome = await _fetch_outcome(
            client,
            self._address(sent),
            sent,
            limit_s,
            forges=forges,
        )
        ledger.outcome_by_id[sent.identity] = outcome
        return outcome

    async def _take_up(
        self,
        client: aiohttp.ClientSession,
        broken: SentRequest,
        outcome: Outcome,
        source: random.Random,
        hosts: list[HostProcess],
    ) -> None:
        """Take a stream up at any host if it has broken off after an event."""
        if broken.kind is not RequestKind.RESUMABLE:
            return
        if not isinstance(outcome, ConnectionCut) or not outcome.events:
            return
        host = source.choice(hosts)
        number = next(self._numbers)
        sent = dataclasses.replace(
            broken,
            identity=f'{broken.identity}t{number}',
            host=host.name,
            incarnation=host.incarnation,
            at=now(),
            began_as=broken.identity,
            resume_after=outcome.events,
        )
        await self._send(client, sent, source)

    def _address(self, sent: SentRequest) -> str:
        return next(
            host.spec.front
            for host in self._environment.hosts
            if host.name == sent.host
        )


async def resolve_hosts(
    client: aiohttp.ClientSession,
    hosts: list[HostProcess],
    source: random.Random,
) -> list[HostProcess]:
    """Query a host's directory; return no hosts if the query fails."""
    asked = source.choice(hosts).spec.directory
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
    return [host for host in hosts if host.spec.front in addresses]


async def _fetch_outcome(
    client: aiohttp.ClientSession,
    address: str,
    sent: SentRequest,
    limit_s: float,
    *,
    forges: bool,
) -> Outcome:
    body = bytearray()
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
            async for chunk in response.content.iter_any():
                body.extend(chunk)
            signature = response.headers.get(SIGNATURE)
            return Response(response.status, signature, bytes(body), now())
    except TimeoutError:
        return CallerLeft(now())
    except aiohttp.ClientConnectorError:
        return Unreachable(now())
    except (
        aiohttp.ClientError,
        ConnectionLostError,
        ConnectionError,
    ) as error:
        where = 'in the response' if reached else 'before the response'
        events = body.count(EVENT_END)
        return ConnectionCut(f'{where}: {error!r}', now(), events)


def _url(address: str, sent: SentRequest) -> str:
    return f'http://{address}{sent.path}'


def _headers(sent: SentRequest, *, forges: bool) -> dict[str, str]:
    prompt = None
    if sent.kind in PROMPT_KINDS:
        part = sum(sent.body) % SHARED_PREFIXES
        prompt = f'5a{part}'
    headers = caller_headers(
        sent.identity,
        sent.key,
        DEADLINE_MS,
        prompt=prompt,
        taken_up=(
            None
            if sent.began_as is None
            else (sent.began_as, sent.resume_after)
        ),
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
