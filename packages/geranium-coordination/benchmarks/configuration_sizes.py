"""Measures bytes, calls, time and memory of a full-size configuration.

Run:
``python packages/geranium-coordination/benchmarks/configuration_sizes.py``.
"""

import argparse
import asyncio
import itertools
import json
import sys
import time
import tracemalloc
from typing import Any

from geranium_coordination import (
    ConfigurationRepository,
    LoadedConfiguration,
    decode_delta,
    encode_delta,
)
from geranium_model import ConfigurationDocument, key_digest, parse_document
from limited_store import LimitedStore

TEAMS = 11000
KEYS_PER_TEAM = 3
TARGETS = 2000
ZONE_COUNT = 25
MODEL_COUNT = 17
ZONES = tuple(f'zone-{number}' for number in range(ZONE_COUNT))
MODELS = tuple(f'model-{number}' for number in range(MODEL_COUNT))
BYTES_PER_MB = 1000000
MS_PER_S = 1000
# This benchmark measures sizes, not the store's rate.
UNLIMITED_PER_S = 1000000
WITHDRAWN_KEY = 'key-5-1'


def make_document(options: argparse.Namespace) -> ConfigurationDocument:
    """Return a document of the size given by the options."""
    zones = itertools.cycle(ZONES)
    models = itertools.cycle(MODELS)
    return parse_document(
        {
            'zones': [{'name': zone, 'region': 'region'} for zone in ZONES],
            'services': [
                {'kind': 'model', 'name': model, 'model': model}
                for model in MODELS
            ],
            'targets': [
                _engine(f'engine-{number}', next(models), next(zones))
                for number in range(options.targets)
            ],
            'teams': [
                {'name': f'team-{number}', 'weight': 1}
                for number in range(options.teams)
            ],
            'keys': [
                _key(f'team-{number}', f'key-{number}-{index}')
                for number in range(options.teams)
                for index in range(options.keys_per_team)
            ],
        },
    )


def withdraw_key(document: ConfigurationDocument) -> ConfigurationDocument:
    """Return the document without one key."""
    kept = tuple(key for key in document.keys if key.key_id != WITHDRAWN_KEY)
    return document.model_copy(update={'keys': kept})


def _engine(name: str, service: str, zone: str) -> dict[str, str]:
    return {
        'kind': 'engine',
        'name': name,
        'service': service,
        'zone': zone,
        'address': '10.100.100.100:9000',
    }


def _key(team: str, key_id: str) -> dict[str, str]:
    return {'key_id': key_id, 'team': team, 'sha256': key_digest(key_id)}


class Step:
    """Measures calls, bytes and time of one step and prints them."""

    def __init__(self, name: str, store: LimitedStore) -> None:
        self._name = name
        self._store = store
        self._wall = time.perf_counter()
        self._cpu = time.process_time()

    def __enter__(self) -> None:
        """Start the step."""
        self._store.counts.clear()

    def __exit__(self, *failure: object) -> None:
        """Print the step's figures."""
        wall_s = time.perf_counter() - self._wall
        cpu_s = time.process_time() - self._cpu
        print_row(
            step=self._name,
            wall_ms=round(wall_s * MS_PER_S),
            cpu_ms=round(cpu_s * MS_PER_S),
            **self._store.counts,
        )


async def main() -> None:
    """Store a document of full size, change it and load it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--teams', type=int, default=TEAMS)
    parser.add_argument('--keys-per-team', type=int, default=KEYS_PER_TEAM)
    parser.add_argument('--targets', type=int, default=TARGETS)
    document = make_document(parser.parse_args())
    store = LimitedStore(writes_per_second=UNLIMITED_PER_S)
    writer = ConfigurationRepository(store)
    with Step('first version', store):
        await writer.change(lambda _: document, 'op-1', 'operator')
    print_sizes(store)
    await measure_memory(store)
    with Step('first load', store):
        held = await writer.load()
    with Step('withdraw a key', store):
        await writer.change(withdraw_key, 'op-2', 'operator')
    with Step('reload by a watcher', store):
        newest = await ConfigurationRepository(store).load(held)
    measure_delta(store, held, newest)


async def measure_memory(store: LimitedStore) -> None:
    """Print the memory used by a loaded configuration."""
    tracemalloc.start()
    held = await ConfigurationRepository(store).load()
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print_row(
        loaded_mb=round(kept_bytes / BYTES_PER_MB, 1),
        keys=len(held.configuration.keys_by_sha256),
    )


def measure_delta(
    store: LimitedStore,
    held: LoadedConfiguration,
    newest: LoadedConfiguration,
) -> None:
    """Print the cost of updating a peer to the newest version."""
    with Step('encode the delta for a peer', store):
        encoded = encode_delta(newest.delta_since(held.version))
    print_row(delta_bytes=len(encoded))
    with Step('apply the delta', store):
        held.apply_delta(decode_delta(encoded))


def print_sizes(store: LimitedStore) -> None:
    """Print the sizes of the manifest and the segments."""
    sizes = store.sizes()
    manifest = sizes.pop('config/manifest')
    print_row(
        manifest_bytes=manifest,
        segments=len(sizes),
        largest_segment_bytes=max(sizes.values()),
        segment_bytes=sum(sizes.values()),
    )


def print_row(**figures: Any) -> None:
    """Print a line of JSON."""
    sys.stdout.write(f'{json.dumps(figures)}\n')


if __name__ == '__main__':
    asyncio.run(main())
