"""Batching, KV memory, roles and KV cache transfer of engines."""

import asyncio
import random

import geranium_policy
import pytest
from geranium_model import Role
from geranium_standins import StepModel
from geranium_standins.cache import KvMemory

PROMPT = 'the band wants the large room on friday evening ' * 8
LONG_PROMPT = PROMPT * 6


def body_of(prompt=PROMPT, **options):
    return {'model': 'lm', 'prompt': prompt, 'max_tokens': 6, **options}


async def complete(engine, body=None, request_id='r-1', **headers):
    return await engine.complete(body or body_of(), request_id, **headers)


def check_piece_count(memory, held):
    assert memory.used == len(
        {prefix for reservation in held for prefix in reservation.shared},
    ) + sum(reservation.private for reservation in held)
    assert 0 <= memory.used <= memory.pieces


class RandomMemoryOperations:
    """Applies random operations to a memory and tracks its cache events."""

    def __init__(self, seed):
        self.cached = set()
        self.held = []
        self.memory = KvMemory(40, self.record)
        self._random = random.Random(seed)

    def record(self, kind, prefix):
        change = self.cached.add if kind == 'stored' else self.cached.remove
        change(prefix)

    def step(self):
        actions = [self.reserve]
        if self.held:
            actions.extend((self.store, self.release, self.extend))
        self._random.choice(actions)()
        check_piece_count(self.memory, self.held)

    def reserve(self):
        size = self._random.randint(1, 12)
        family = self._random.randint(1, 4)
        prefixes = tuple(f'{family}:{index}' for index in range(size))
        pieces = size + self._random.randint(0, 3)
        reservation = self.memory.reserve(prefixes, pieces)
        if reservation is not None:
            self.held.append(reservation)

    def store(self):
        self.memory.store(self._random.choice(self.held))

    def release(self):
        reservation = self._random.choice(self.held)
        self.held.remove(reservation)
        self.memory.release(reservation)

    def extend(self):
        reservation = self._random.choice(self.held)
        self.memory.extend(reservation, reservation.pieces + 2)


@pytest.mark.parametrize('seed', range(20))
def test_memory_accounting_holds_for_random_operations(seed):
    operations = RandomMemoryOperations(seed)
    for _ in range(400):
        operations.step()
    for reservation in operations.held:
        operations.memory.release(reservation)
    operations.memory.clear_cache()
    assert not operations.memory.used
    assert operations.cached == set()


def test_least_recently_used_prefix_is_evicted_first():
    evicted = []
    memory = KvMemory(4, lambda kind, prefix: evicted.append((kind, prefix)))
    for prefix in ('a', 'b', 'a'):
        reservation = memory.reserve((prefix,), 1)
        memory.store(reservation)
        memory.release(reservation)
    evicted.clear()
    memory.reserve(('c',), 3)
    assert evicted == [('evicted', 'b')]


def test_step_time_follows_the_model():
    model = StepModel(
        prefill_us_per_token=10,
        decode_step_us=1000,
        decode_us_per_sequence=100,
        decode_role_penalty=3,
    )
    assert model.step_s(Role.MIXED, 2, 50) == pytest.approx(0.0017)
    assert model.step_s(Role.PREFILL, 0, 50) == pytest.approx(0.0005)
    assert model.step_s(Role.DECODE, 2, 50) == pytest.approx(0.0027)
    assert model.chunk_tokens(Role.PREFILL) > model.chunk_tokens(Role.MIXED)


async def test_second_request_hits_the_prefix_cache(engine):
    first = await complete(engine, body_of(LONG_PROMPT), 'r-1')
    second = await complete(engine, body_of(LONG_PROMPT), 'r-2')
    assert first.usage['cached_tokens'] == 0
    assert second.usage['cached_tokens'] == len(LONG_PROMPT) // 64 * 16
    events = (await engine.get('/cache-events')).json()
    hashes = list(geranium_policy.prefix_hashes(LONG_PROMPT))
    assert len(hashes) == 4
    assert [event['prefix'] for event in events['events']] == hashes
    after = events['next']
    assert (await engine.get(f'/cache-events?after={after}')).json() == {
        'events': [],
        'next': after,
    }


async def test_cache_events_lag_and_have_gaps(engine):
    await engine.set_faults(cache_event_gap=0.5)
    await complete(engine, body_of('abcd' * 6000))
    shown = (await engine.get('/cache-events')).json()['events']
    seqs = [event['seq'] for event in shown]
    assert 0 < len(seqs) < 46
    assert seqs == sorted(seqs)
    await engine.set_faults(cache_event_lag_ms=60_000)
    answer = await engine.get('/cache-events?wait_ms=50')
    assert answer.json() == {'events': [], 'next': 0}


async def test_load_report_lags(engine):
    reading = asyncio.create_task(complete(engine, body_of(max_tokens=9000)))
    await engine.wait_for('/load', lambda load: load['running'])
    await engine.set_faults(load_lag_ms=60_000)
    stale = (await engine.get('/load')).json()
    assert stale['running'] == 0
    reading.cancel()


async def test_requests_wait_for_memory_and_start_by_priority(start_engine):
    engine = await start_engine(kv_pieces=30)
    whole = body_of('x', max_tokens=400)
    readings = [asyncio.create_task(complete(engine, whole, 'r-0'))]
    await engine.wait_for('/load', lambda load: load['running'])
    for priority in (7, 2, 5):
        name = f'r-{priority}'
        reading = complete(
            engine, whole, name, headers={'Request-Priority': str(priority)}
        )
        readings.append(asyncio.create_task(reading))
    await engine.wait_for('/load', lambda load: load['waiting'] == 3)
    ended = [await reading for reading in asyncio.as_completed(readings)]
    assert [stream.ids[0] for stream in ended] == [
        'r-0:0',
        'r-2:0',
        'r-5:0',
        'r-7:0',
    ]


async def test_full_engine_refuses(start_engine):
    engine = await start_engine(max_running=1, max_waiting=0)
    answer = await engine.post(
        '/v1/completions', body_of(), headers={'Request-Id': 'r-1'}
    )
    assert (answer.status, answer.json()['type']) == (503, 'not-run')


@pytest.mark.parametrize(
    ('role', 'completion', 'prefill'),
    [('mixed', 200, 200), ('prefill', 503, 200), ('decode', 200, 503)],
)
async def test_roles_refuse_unsupported_work(
    start_engine, role, completion, prefill
):
    engine = await start_engine(role=Role(role))
    assert (await complete(engine)).status == completion
    answer = await engine.post(
        '/kv/prefill', body_of(), headers={'Request-Id': 'r-2'}
    )
    assert answer.status == prefill


async def transfer_kv(source, sink, body, request_id='r-1'):
    prefilled = await source.post(
        '/kv/prefill', body, headers={'Request-Id': request_id}
    )
    reference = {'kv': prefilled.json()['kv'], 'request_id': request_id}
    return await sink.post(
        '/kv/import', {'source': source.address, **reference}
    )


async def test_imported_kv_cache_skips_prefill(start_engine):
    source = await start_engine(role=Role.PREFILL)
    sink = await start_engine(role=Role.DECODE)
    imported = await transfer_kv(source, sink, body_of())
    assert imported.json() == {'pieces': len(PROMPT) // 64}
    stream = await complete(sink)
    assert stream.is_complete
    assert stream.usage['cached_tokens'] == len(PROMPT) // 4
    for engine in (source, sink):
        assert (await engine.get('/load')).json()['kv_pieces_used'] == 0


async def test_import_for_another_prompt_is_not_used(start_engine):
    source = await start_engine()
    sink = await start_engine()
    await transfer_kv(source, sink, body_of())
    stream = await complete(sink, body_of('another prompt'))
    assert stream.usage['cached_tokens'] == 0
    assert (await sink.get('/load')).json()['kv_pieces_used'] == 0


async def test_import_of_unknown_handle_is_not_run(engine):
    answer = await engine.post(
        '/kv/import',
        {'source': engine.address, 'kv': 'none', 'request_id': 'r-1'},
    )
    assert (answer.status, answer.json()['type']) == (502, 'not-run')


async def test_waiting_imports_do_not_deadlock_memory(start_engine):
    source = await start_engine()
    sink = await start_engine(kv_pieces=14)
    readings = []
    for request_id in ('r-1', 'r-2'):
        body = body_of(f'{request_id}{PROMPT}'[:384], max_tokens=100)
        imported = await transfer_kv(source, sink, body, request_id)
        assert imported.status == 200
        reading = complete(sink, body, request_id)
        readings.append(reading)
    assert (await sink.get('/load')).json()['kv_pieces_used'] == 12
    streams = await asyncio.gather(*readings)
    assert all(stream.is_complete for stream in streams)
