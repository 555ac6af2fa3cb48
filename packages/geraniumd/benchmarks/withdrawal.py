"""Time from the withdrawal of a key until every host refuses it.

Run: ``python packages/geraniumd/benchmarks/withdrawal.py``. It starts a
local deployment of nine daemons with stand-ins and withdraws many keys one
after the other. Meanwhile callers send requests through every host on
persistent connections. It prints JSON in milliseconds.
"""

import argparse
import asyncio
import json
import statistics
import sys
import time
from collections.abc import Sequence
from typing import Any

import aiohttp
from geranium_standins.deployment import Deployment, DeploymentSettings

MS_PER_S = 1000
PERCENTILES = 100
# Time after which hosts are voters, which must confirm a withdrawal.
VOTER_DELAY_S = 9


async def measure(tries: int) -> dict[str, Any]:
    """Measure ``tries`` withdrawals and return their times."""
    settings = DeploymentSettings(
        daemons=9,
        engines=1,
        targets=3,
        log_level='warning',
    )
    async with Deployment(settings) as deployment:
        await asyncio.sleep(VOTER_DELAY_S)
        slowest = []
        answered = []
        for number in range(tries):
            times = await _withdraw(deployment, f'key-{number}')
            slowest.append(max(times[1:]))
            answered.append(times[0])
        return {
            'daemons': settings.daemons,
            'tries': tries,
            'last_host_refuses_ms': _summary(slowest),
            'operator_answered_ms': _summary(answered),
        }


async def _withdraw(deployment: Deployment, key_id: str) -> list[float]:
    secret = await deployment.operator.create_key(key_id)
    headers = {'Authorization': f'Bearer {secret}'}
    async with aiohttp.ClientSession(headers=headers) as session:
        calls = [
            asyncio.create_task(_call_until_refused(deployment, session, host))
            for host in deployment.daemons_by_host
        ]
        await asyncio.sleep(0.2)
        started_at = time.monotonic()
        await deployment.operator.execute(f'withdraw key {key_id}')
        answered_at = time.monotonic()
        refused_at = await asyncio.gather(*calls)
    instants = (answered_at, *refused_at)
    return [(instant - started_at) * MS_PER_S for instant in instants]


async def _call_until_refused(
    deployment: Deployment,
    session: aiohttp.ClientSession,
    host: str,
) -> float:
    url = deployment.caller_url(host, '/apps/app/orders')
    while True:
        async with session.get(url) as response:
            await response.read()
            if not response.ok:
                return time.monotonic()
        await asyncio.sleep(0.01)


def _summary(values: Sequence[float]) -> dict[str, float]:
    cuts = statistics.quantiles(values, n=PERCENTILES)
    return {
        'median': round(statistics.median(values)),
        'p99': round(cuts[-1]),
        'worst': round(max(values)),
    }


def main() -> None:
    """Run the benchmark and print JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--tries', type=int, default=100)
    tries = parser.parse_args().tries
    json.dump(asyncio.run(measure(tries)), sys.stdout, indent=2)


if __name__ == '__main__':
    main()
