"""Measures the rate of claimed calls through one store.

Compares the claim journal with a separate write per claim and outcome.
Run: ``python packages/geranium-coordination/benchmarks/claim_rates.py``.
"""

import argparse
import asyncio
import itertools
import json
import statistics
import sys
from collections.abc import Sequence
from typing import Protocol

import geranium_coordination as coordination
from geranium_coordination.rate_limiter import RateLimiter
from limited_store import LATENCY_S, WRITES_PER_SECOND, LimitedStore

PERCENTILES = 100
BYTES_PER_MB = 1000000
MS_PER_S = 1000
PEER_LATENCY_S = 0.001
# Reserves part of the rate for the writes of other duties.
WRITE_SHARE = 0.9
BODY = b'{"order": "accepted"}'
GROUPED_RUNS = (
    (1, 64, True),
    (9, 64, True),
    (9, 64, False),
    (9, 8, False),
)
# Few enough that they hardly wait for one another.
SINGLE_CALLERS = 100
STATUS = 200
HEADERS = (('Content-Type', 'application/json'),)
OUTCOME = coordination.make_call_outcome(STATUS, HEADERS, BODY)


class Caller(Protocol):
    """Makes calls that must not be repeated."""

    async def call(self, key: str) -> bool:
        """Claim and complete a call; return whether it succeeded."""
        ...


class GroupedCaller:
    """Calls through a host's claim journal."""

    def __init__(self, journal: coordination.ClaimJournal) -> None:
        self._journal = journal

    async def call(self, key: str) -> bool:
        """Claim and complete a call; return whether it succeeded."""
        claim = await self._journal.claim('team', key, 'fingerprint')
        if not isinstance(claim, coordination.Claimed):
            return False
        await self._journal.complete(claim.ticket, OUTCOME)
        return True


class SingleCaller:
    """Calls with a write for the claim and another for the outcome."""

    def __init__(self, store: LimitedStore) -> None:
        self._store = store
        self._rate_limiter = RateLimiter(
            coordination.SystemClock(),
            WRITES_PER_SECOND * WRITE_SHARE,
        )

    async def call(self, key: str) -> bool:
        """Claim and complete a call; return whether it succeeded."""
        await self._rate_limiter.wait()
        version = await self._store.write(key, key, coordination.IfAbsent())
        await self._rate_limiter.wait()
        condition = coordination.IfVersion(version)
        await self._store.write(key, [key, BODY.decode()], condition)
        return True


class Hosts:
    """Journals of several hosts that share a store.

    Args:
        store: The shared store with its rate limits.
        count: Number of hosts.
        buckets: Number of buckets.
        owned: Whether hosts forward to the owner of a bucket.
    """

    def __init__(
        self,
        store: LimitedStore,
        count: int,
        buckets: int,
        owned: bool,
    ) -> None:
        settings = coordination.ClaimSettings(
            buckets=buckets,
            writes_per_second=WRITES_PER_SECOND * WRITE_SHARE / count,
        )
        self.names = [f'host-{number}' for number in range(count)]
        self.owned = owned
        self.journals_by_host = {
            name: coordination.ClaimJournal(
                name,
                store,
                Peers(self, name),
                settings,
            )
            for name in self.names
        }


class Peers:
    """The other hosts from the view of one host."""

    def __init__(self, hosts: Hosts, name: str) -> None:
        self._hosts = hosts
        self._name = name

    def is_gone(self, holder: str) -> bool:
        """Return ``False``: no holder fails."""
        return False

    def owner_of(self, bucket: int) -> str | None:
        """Return the owner, ``None`` for this host."""
        if not self._hosts.owned:
            return None
        owner = coordination.claim_bucket_owner(bucket, self._hosts.names)
        return None if owner == self._name else owner

    async def forward(
        self,
        owner: str,
        operation: coordination.ClaimOperation,
    ) -> coordination.ClaimOutcome | None:
        """Forward the operation and return its outcome."""
        encoded = coordination.encode_claim_message(operation)
        await asyncio.sleep(PEER_LATENCY_S)
        decoded = coordination.decode_claim_message(encoded)
        outcome = await self._hosts.journals_by_host[owner].execute(decoded)
        await asyncio.sleep(PEER_LATENCY_S)
        return outcome


class Load:
    """Callers that call repeatedly, and their results."""

    def __init__(self) -> None:
        self.refused = 0
        self.seconds: list[float] = []
        self._numbers = itertools.count()

    async def run(
        self,
        callers: Sequence[Caller],
        count: int,
        duration_s: float,
    ) -> None:
        """Run the given number of callers for the duration."""
        tasks = [
            asyncio.create_task(self._repeat(caller))
            for caller in itertools.islice(itertools.cycle(callers), count)
        ]
        await asyncio.sleep(duration_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def report(
        self,
        duration_s: float,
        store: LimitedStore,
    ) -> dict[str, float]:
        """Return the measured figures."""
        cuts = statistics.quantiles(self.seconds, n=PERCENTILES)
        written = store.counts['bytes_written']
        return {
            'calls_per_s': round(len(self.seconds) / duration_s),
            'refused': self.refused,
            'median_ms': round(statistics.median(cuts) * MS_PER_S),
            'p99_ms': round(cuts[-1] * MS_PER_S),
            'writes_per_s': round(store.counts['write'] / duration_s),
            'reads_per_s': round(store.counts['read'] / duration_s),
            'conflicts': store.counts['conflict'],
            'written_mb': round(written / BYTES_PER_MB, 1),
            'largest_object_bytes': max(store.sizes().values()),
        }

    async def _repeat(self, caller: Caller) -> None:
        clock = coordination.SystemClock()
        while True:
            started_at = clock.now()
            if await caller.call(f'key-{next(self._numbers)}'):
                self.seconds.append(clock.now() - started_at)
            else:
                self.refused += 1


async def measure_single(count: int, duration_s: float) -> None:
    """Measure a separate write for each claim and each outcome."""
    store = LimitedStore()
    load = Load()
    await load.run([SingleCaller(store)], count, duration_s)
    print_row(
        way='one write each',
        callers=count,
        **load.report(duration_s, store),
    )


async def measure_grouped(
    options: argparse.Namespace,
    hosts: int,
    buckets: int,
    owned: bool,
) -> None:
    """Measure journals of several hosts that share the store's rate."""
    store = LimitedStore()
    group = Hosts(store, hosts, buckets, owned)
    journals = group.journals_by_host.values()
    running = [asyncio.create_task(journal.run()) for journal in journals]
    load = Load()
    callers = [GroupedCaller(journal) for journal in journals]
    await load.run(callers, options.callers, options.seconds)
    for task in running:
        task.cancel()
    print_row(
        way='group commit',
        hosts=hosts,
        buckets=buckets,
        owned=owned,
        **load.report(options.seconds, store),
    )


async def main() -> None:
    """Measure both variants and print a line of JSON for each run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--callers', type=int, default=1000)
    parser.add_argument('--seconds', type=float, default=8)
    options = parser.parse_args()
    print_row(
        callers=options.callers,
        seconds=options.seconds,
        store_latency_ms=LATENCY_S * MS_PER_S,
        store_writes_per_s=WRITES_PER_SECOND,
    )
    for callers in (SINGLE_CALLERS, options.callers):
        await measure_single(callers, options.seconds)
    for hosts, buckets, owned in GROUPED_RUNS:
        await measure_grouped(options, hosts, buckets, owned)


def print_row(**figures: object) -> None:
    """Print a line of JSON."""
    sys.stdout.write(f'{json.dumps(figures)}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    asyncio.run(main())
