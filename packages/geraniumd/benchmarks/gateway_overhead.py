"""Latency that a daemon adds to a request, and its throughput.

Run: ``python packages/geraniumd/benchmarks/gateway_overhead.py``. It starts
a local deployment of one daemon with stand-ins and prints JSON:

- time to first token through the daemon and directly from the engine,
  measured alternately, in milliseconds;
- short application calls and token events per second of the daemon's CPU
  time and per second of wall time.
"""

import argparse
import asyncio
import dataclasses
import json
import os
import pathlib
import statistics
import sys
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Any

import aiohttp
from geranium_standins.deployment import Deployment, DeploymentSettings

MS_PER_S = 1000
PERCENTILES = 100
PROMPT_REPEATS = 20
PROMPT = 'A card for Ndapewa and Tuli, in gold on cream. ' * PROMPT_REPEATS
FAST_ENGINE = (
    '--decode-step-us=2000',
    '--decode-us-per-sequence=20',
    '--prefill-us-per-token=5',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Number and size of the requests of a run."""

    first_tokens: int
    calls: int
    streams: int
    tokens: int
    concurrency: int


async def measure(load: Load) -> dict[str, Any]:
    """Run the benchmark and return its results."""
    settings = DeploymentSettings(
        zones=('zone-a',),
        daemons=1,
        engines=1,
        targets=3,
        engine_options=FAST_ENGINE,
        log_level='warning',
    )
    async with Deployment(settings) as deployment:
        secret = await deployment.operator.create_key('bench')
        headers = {'Authorization': f'Bearer {secret}'}
        async with aiohttp.ClientSession(headers=headers) as session:
            bench = _Bench(deployment, session, load)
            return {
                'first_token_ms': await bench.first_tokens(),
                'calls': await bench.throughput(load.calls, bench.call),
                'streams': await bench.throughput(load.streams, bench.stream),
            }


class _Bench:
    def __init__(
        self,
        deployment: Deployment,
        session: aiohttp.ClientSession,
        load: Load,
    ) -> None:
        self._load = load
        self._session = session
        daemon = deployment.daemons_by_host['host-1']
        engine = deployment.engines_by_name['engine-1']
        self._pid = daemon.pid
        self._daemon_url = deployment.caller_url('host-1', '')
        self._engine_url = engine.url
        self._numbers = iter(range(sys.maxsize))

    async def first_tokens(self) -> dict[str, Any]:
        """Measure the time to first token with and without the daemon."""
        through: list[float] = []
        direct: list[float] = []
        for _ in range(self._load.first_tokens):
            direct.append(await self._first_token(self._engine_url))
            through.append(await self._first_token(self._daemon_url))
        pairs = zip(through, direct, strict=True)
        return {
            'through_daemon': _summary(through),
            'from_engine': _summary(direct),
            'added': _summary(
                [daemon_ms - engine_ms for daemon_ms, engine_ms in pairs]
            ),
        }

    async def throughput(
        self,
        count: int,
        send: Callable[[], Awaitable[int]],
    ) -> dict[str, float]:
        """Measure throughput; ``send`` returns its number of events."""
        started_at = time.monotonic()
        cpu_before_s = _cpu_s(self._pid)
        events = await self._send_all(count, send)
        cpu_s = _cpu_s(self._pid) - cpu_before_s
        elapsed_s = time.monotonic() - started_at
        return {
            'requests': count,
            'events': events,
            'daemon_cpu_s': round(cpu_s, 2),
            'requests_per_cpu_s': round(count / cpu_s),
            'requests_per_s': round(count / elapsed_s),
            'events_per_cpu_s': round(events / cpu_s),
            'cpu_us_per_event': round(cpu_s / events * MS_PER_S**2, 1),
        }

    async def call(self) -> int:
        """Send a short application call."""
        url = f'{self._daemon_url}/apps/app/orders/17'
        async with self._session.get(url, raise_for_status=True) as response:
            await response.read()
        return 1

    async def stream(self) -> int:
        """Read a stream to its end and return its number of events."""
        async with self._post(self._daemon_url, self._load.tokens) as response:
            text = await response.read()
        return text.count(b'\n\n')

    async def _send_all(
        self,
        count: int,
        send: Callable[[], Awaitable[int]],
    ) -> int:
        """Send ``count`` requests concurrently; return the number of events."""
        numbers = iter(range(count))
        workers = [
            _repeat(numbers, send) for _ in range(self._load.concurrency)
        ]
        return sum(await asyncio.gather(*workers))

    async def _first_token(self, url: str) -> float:
        started_at = time.perf_counter()
        async with self._post(url, 2) as response:
            await response.content.readline()
            elapsed_ms = (time.perf_counter() - started_at) * MS_PER_S
            await response.read()
        return elapsed_ms

    def _post(self, url: str, tokens: int) -> Any:
        return self._session.post(
            f'{url}/v1/chat/completions',
            json={
                'model': 'llm',
                'stream': True,
                'max_tokens': tokens,
                'messages': [{'role': 'user', 'content': PROMPT}],
            },
            headers={'Request-Id': f'bench-{next(self._numbers)}'},
            raise_for_status=True,
        )


async def _repeat(
    numbers: Iterator[int],
    send: Callable[[], Awaitable[int]],
) -> int:
    """Send one request for each number that this worker gets."""
    return sum([await send() for _ in numbers])


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    user_ticks, system_ticks = fields[13:15]
    ticks = int(user_ticks) + int(system_ticks)
    return ticks / os.sysconf('SC_CLK_TCK')


def _summary(values: Sequence[float]) -> dict[str, float]:
    cuts = statistics.quantiles(values, n=PERCENTILES)
    return {
        'median': round(statistics.median(values), 2),
        'p99': round(cuts[-1], 2),
        'count': len(values),
    }


def main() -> None:
    """Run the benchmark and print JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first-tokens', type=int, default=500)
    parser.add_argument('--calls', type=int, default=6000)
    parser.add_argument('--streams', type=int, default=400)
    parser.add_argument('--tokens', type=int, default=200)
    parser.add_argument('--concurrency', type=int, default=32)
    asked = parser.parse_args()
    load = Load(
        asked.calls,
        asked.streams,
        asked.tokens,
        asked.concurrency,
    )
    json.dump(asyncio.run(measure(load)), sys.stdout, indent=2)


if __name__ == '__main__':
    main()
