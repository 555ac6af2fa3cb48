"""Callers that keep their connections and addresses while hosts stop."""

import asyncio
import collections
import itertools
import random

import aiohttp
from geranium_platform_standins import WORK_MS, caller_headers, timed_path
from geranium_standins.settings import MS_PER_S

from .environment import Environment
from .host_process import HostProcess
from .kept_connections import KeptConnection
from .observations import (
    CallerLeft,
    ConnectionCut,
    Outcome,
    RequestKind,
    SentRequest,
    Unreachable,
    now,
)
from .traffic import PROMPT_KINDS, SHARED_PREFIXES, resolve_hosts

TIMEOUTS_MS = (1000, 2000, 3000, 5000, 6000)  # of the routes
FULL_DEADLINE_SHARE = 0.7  # of the requests; those of others are shorter
WORK_SHARE = (-1.3, 0.8)  # of the deadline, log-normal: mean and deviation
MAX_WORK_SHARE = 0.97
THINK_S = 0.4  # mean
CACHED_S = (2.0, 6.0)  # for which a caller uses the directory's answer
CHUNKED_SHARE = 0.4
PAUSES_S = (0, 0, 0.02, 0.3)  # before each chunk of a body
BODY_BYTES = (10, 600)
PATIENCE_S = 1.5  # beyond the deadline
KINDS = tuple(RequestKind)
ID_BITS = 32


class KeptTraffic:
    """Sends requests of many callers until it is told to end.

    Args:
        environment: The hosts; the ledger records requests and outcomes.
        seed: Seed of what callers draw.
    """

    def __init__(self, environment: Environment, seed: int) -> None:
        self._environment = environment
        self._seed = seed
        self._numbers = itertools.count()
        self._ended = asyncio.Event()

    def end(self) -> None:
        """Let callers finish their requests and send no others."""
        self._ended.set()

    async def run(self, callers: int) -> None:
        """Send requests until the end."""
        async with (
            aiohttp.ClientSession() as client,
            asyncio.TaskGroup() as group,
        ):
            for number in range(callers):
                source = random.Random(f'{self._seed}/{number}')
                addresses = _Addresses(client, self._environment.hosts, source)
                group.create_task(self._run_caller(addresses, source))

    async def _run_caller(
        self, addresses: '_Addresses', source: random.Random
    ) -> None:
        connection_by_host = collections.defaultdict[str, KeptConnection](
            KeptConnection
        )
        while not self._ended.is_set():
            await asyncio.sleep(source.expovariate(1 / THINK_S))
            for host in await addresses.choose():
                await self._send(host, connection_by_host[host.name], source)
        for kept in connection_by_host.values():
            kept.close()

    async def _send(
        self,
        host: HostProcess,
        connection: KeptConnection,
        source: random.Random,
    ) -> None:
        ledger = self._environment.ledger
        timeout_ms = source.choice(TIMEOUTS_MS)
        deadline_ms = timeout_ms
        if source.random() > FULL_DEADLINE_SHARE:
            deadline_ms = source.randint(TIMEOUTS_MS[0], timeout_ms)
        sent = self._draw_request(host, source, timeout_ms, deadline_ms)
        body, pause_s = _draw_sending(sent, source)
        ledger.sent_by_id[sent.identity] = sent
        outcome: Outcome
        try:
            await connection.open(host.spec.front)
        except (OSError, TimeoutError):
            outcome = Unreachable(now())
        else:
            headers = _headers(sent, deadline_ms)
            outcome = await self._exchange(
                connection, sent, headers, body, pause_s
            )
        ledger.outcome_by_id[sent.identity] = outcome

    async def _exchange(
        self,
        connection: KeptConnection,
        sent: SentRequest,
        headers: dict[str, str],
        body: tuple[bytes, ...],
        pause_s: float,
    ) -> Outcome:
        whole_at_by_id = self._environment.ledger.whole_at_by_id
        try:
            async with asyncio.timeout(sent.expires_at - now() + PATIENCE_S):
                whole_at_by_id[sent.identity] = await connection.send(
                    sent.path, headers, body, pause_s
                )
                return await connection.read_response()
        except TimeoutError:
            connection.close()
            return CallerLeft(now())
        except (OSError, EOFError) as error:
            connection.close()
            return ConnectionCut(repr(error), now())

    def _draw_request(
        self,
        host: HostProcess,
        source: random.Random,
        timeout_ms: int,
        deadline_ms: int,
    ) -> SentRequest:
        number = next(self._numbers)
        kind = source.choice(KINDS)
        share = min(source.lognormvariate(*WORK_SHARE), MAX_WORK_SHARE)
        prefix = timed_path(kind.value, timeout_ms)
        team, key = source.choice(sorted(self._environment.key_by_team.items()))
        at = now()
        return SentRequest(
            f'{number}x{source.getrandbits(ID_BITS)}',
            kind,
            f'{prefix}{number}?{WORK_MS}={int(deadline_ms * share)}',
            source.randbytes(source.randrange(*BODY_BYTES)),
            key,
            team,
            host.name,
            host.incarnation,
            at,
            expires_at=at + deadline_ms / MS_PER_S,
        )


class _Addresses:
    """Keeps the directory's answer for one caller."""

    def __init__(
        self,
        client: aiohttp.ClientSession,
        hosts: list[HostProcess],
        source: random.Random,
    ) -> None:
        self._client = client
        self._hosts = hosts
        self._source = source
        self._known: list[HostProcess] = []
        self._expires_at = now()

    async def choose(self) -> list[HostProcess]:
        """Return one of the hosts, in a list that is empty if none is known."""
        if now() >= self._expires_at:
            found = await resolve_hosts(self._client, self._hosts, self._source)
            self._known = found or self._known
            self._expires_at = now() + self._source.uniform(*CACHED_S)
        count = min(len(self._known), 1)
        return self._source.sample(self._known, count)


def _draw_sending(
    sent: SentRequest, source: random.Random
) -> tuple[tuple[bytes, ...], float]:
    """Return the parts of a body and the pause before each."""
    if source.random() > CHUNKED_SHARE:
        return (sent.body,), 0
    half = len(sent.body) // 2
    pause_s = source.choice(PAUSES_S)
    return (sent.body[:half], sent.body[half:]), pause_s


def _headers(sent: SentRequest, deadline_ms: int) -> dict[str, str]:
    part = sum(sent.body) % SHARED_PREFIXES
    prompt = f'5a{part}' if sent.kind in PROMPT_KINDS else None
    return caller_headers(sent.identity, sent.key, deadline_ms, prompt=prompt)
