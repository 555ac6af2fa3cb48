"""Bytes of the largest responses and of a sealed usage window."""

import json
import uuid
from collections.abc import Iterator

from geranium_coordination import UsageBatch
from geranium_coordination.counted_batches import CountedBatches
from geranium_coordination.usage_seals import encode_seal, seal_window
from geranium_model import Usage
from geranium_statements import Collection
from geranium_statements.responses import table_to_json
from geraniumd.operators import LocalTables
from geraniumd.state import RECENT_LIMIT, Context

from .figures import Figure, processor_us
from .memory import record_requests
from .world import (
    Size,
    build_document,
    build_idle_context,
    load_document,
    team_name,
)

_ROUNDS = 3
_US_PER_MS = 1000
# Peak usage of a team per minute: 26,000 requests and 6.7 million tokens per
# second over 11,000 teams. The prompt length is an assumption.
_REQUESTS = 142
_GENERATED_TOKENS = 36_545
_PROMPT_TOKENS = 100_000
_SEQUENCE = 12
_USED = Usage(
    _PROMPT_TOKENS,
    _GENERATED_TOKENS,
    _REQUESTS,
)
_LATE_WINDOWS = 48


async def measure_surface() -> list[Figure]:
    """Return the sizes that a platform limit bounds."""
    context = build_idle_context()
    record_requests(context, RECENT_LIMIT)
    loaded = await load_document(build_document(Size()))
    context.replica.apply(loaded)
    context.fleet.apply_configuration(loaded.configuration)
    return [
        *_table_figures(context, Collection.REQUESTS),
        *_table_figures(context, Collection.ENGINES),
        *_table_figures(context, Collection.TEAMS),
        _seal_figure(),
    ]


def _table_figures(
    context: Context,
    collection: Collection,
) -> Iterator[Figure]:
    tables = LocalTables(context, None)
    answer = _render_table(tables, collection)
    group = f'show {collection.value}, one host'
    yield Figure(group, 'bytes of the whole answer', len(answer), 'B')
    spent = processor_us(lambda: _render_table(tables, collection), _ROUNDS)
    yield Figure(group, 'processor time', spent / _US_PER_MS, 'ms')


def _render_table(tables: LocalTables, collection: Collection) -> str:
    return json.dumps(table_to_json(tables.build(collection)))


def _seal_figure() -> Figure:
    size = Size()
    usage_by_team = {team_name(number): _USED for number in range(size.teams)}
    batches = [
        UsageBatch(_origin(number), _SEQUENCE, 1, {})
        for number in range(size.daemons)
    ]
    batches.append(UsageBatch('host-0', 1, 1, usage_by_team))
    sealed = seal_window(1, CountedBatches(), batches, _LATE_WINDOWS)
    stored = json.dumps(encode_seal(sealed))
    name = 'sealed window, all teams and daemons'
    return Figure('usage', name, len(stored), 'B')


def _origin(number: int) -> str:
    incarnation = uuid.UUID(int=number).hex
    return f'host-{number}.{incarnation}'
