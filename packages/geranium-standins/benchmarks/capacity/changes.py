"""Time and bytes of configuration changes at full size."""

import json
import time
from collections.abc import Iterator
from functools import partial

from geranium_coordination import (
    ConfigurationRepository,
    LoadedConfiguration,
    decode_delta,
    encode_delta,
)
from geranium_coordination.manifests import encode_manifest
from geranium_coordination.memory import MemoryStore
from geranium_model import ConfigurationDocument, parse_document
from geraniumd.callers import CompletionAdmission

from .figures import Figure
from .world import Size, build_document, build_idle_context, team_name

_GROUP = 'change'
_MS_PER_S = 1000
_CHANGES = 5
_WEIGHT = 2


async def measure_changes() -> list[Figure]:
    """Return the cost of changing a team weight and of a first load."""
    repository = ConfigurationRepository(MemoryStore())
    document = build_document(Size())
    await repository.change(lambda _empty: document, 'first', 'capacity')
    before = await repository.load()
    started_at = time.process_time()
    for number in range(_CHANGES):
        await repository.change(
            partial(_set_weight, team_name(number)),
            f'operation-{number}',
            'capacity',
        )
    changed_ms = _elapsed_ms(started_at) / _CHANGES
    after = await repository.load()
    manifest = json.dumps(encode_manifest(after.manifest))
    return [
        _time('accepting daemon, a change', changed_ms),
        _size('manifest as stored', manifest),
        *_delta_figures(after),
        *_follower_figures(before, after),
        *_first_load_figures(after),
    ]


def _set_weight(
    team: str,
    document: ConfigurationDocument,
) -> ConfigurationDocument:
    raw = document.model_dump(mode='json')
    for row in raw['teams']:
        if row['name'] == team:
            row['weight'] = _WEIGHT
    return parse_document(raw)


def _delta_figures(after: LoadedConfiguration) -> Iterator[Figure]:
    started_at = time.process_time()
    encoded = encode_delta(after.delta_since(after.version - 1))
    yield _time('peer, to encode a delta', _elapsed_ms(started_at))
    yield _size('delta of one change to a peer', encoded)


def _follower_figures(
    before: LoadedConfiguration,
    after: LoadedConfiguration,
) -> Iterator[Figure]:
    context = build_idle_context()
    admission = CompletionAdmission(context)
    context.replica.apply(before)
    context.fleet.apply_configuration(before.configuration)
    encoded = encode_delta(after.delta_since(before.version))
    started_at = time.process_time()
    applied = before.apply_delta(decode_delta(encoded))
    taken_ms = _elapsed_ms(started_at)
    yield _time(f'follower, to take a delta of {_CHANGES} changes', taken_ms)
    started_at = time.process_time()
    context.replica.apply(applied)
    context.fleet.apply_configuration(applied.configuration)
    admission.reject_withdrawn_keys()
    yield _time('follower, to put it in force', _elapsed_ms(started_at))


def _first_load_figures(after: LoadedConfiguration) -> Iterator[Figure]:
    encoded = encode_delta(after.delta_since(0))
    yield _size('whole configuration as one delta', encoded)
    started_at = time.process_time()
    LoadedConfiguration().apply_delta(decode_delta(encoded))
    yield _time('whole configuration, to take it', _elapsed_ms(started_at))


def _elapsed_ms(started_at: float) -> float:
    return (time.process_time() - started_at) * _MS_PER_S


def _time(name: str, measured_ms: float) -> Figure:
    return Figure(_GROUP, f'{name}, processor time', measured_ms, 'ms')


def _size(name: str, encoded: str | bytes) -> Figure:
    return Figure(_GROUP, name, len(encoded), 'B')
