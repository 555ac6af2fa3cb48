"""Completions of an engine and stream faults."""

import asyncio
import time

import aiohttp
import openai
import pytest
from geranium_standins import StandinClient, StreamRecord

PROMPT = 'the band wants the large room on friday evening ' * 8


def body_of(prompt=PROMPT, **options):
    return {'model': 'lm', 'prompt': prompt, 'max_tokens': 6, **options}


LONG = body_of(max_tokens=3000)


async def complete(engine, body=None, request_id='r-1', **headers):
    return await engine.complete(body or body_of(), request_id, **headers)


async def wait_running(engine, count=1):
    await engine.wait_for('/load', lambda load: load['running'] == count)


async def outcome_of(engine, request_id):
    rows = await engine.log('requests')
    return [row['outcome'] for row in rows if row['request_id'] == request_id]


async def test_stream_has_offsets_usage_and_done_marker(engine):
    stream = await complete(engine)
    assert stream.ids == [f'r-1:{offset}' for offset in range(8)]
    assert stream.is_complete
    assert len(stream.text.split()) == 6
    choice = stream.chunks[-1]['choices'][0]
    assert choice['finish_reason'] == 'stop'
    assert stream.usage['prompt_tokens'] == len(PROMPT) // 4
    assert stream.usage['completion_tokens'] == 6
    assert await outcome_of(engine, 'r-1') == ['completed']


async def test_openai_client_reads_the_stream(engine):
    client = openai.AsyncOpenAI(
        base_url=f'http://{engine.address}/v1',
        api_key='none',
        default_headers={'Request-Id': 'r-1'},
    )
    async with client:
        chunks = await client.chat.completions.create(
            model='lm',
            messages=[{'role': 'user', 'content': 'draft a reply'}],
            max_tokens=4,
            stream=True,
        )
        texts = [chunk.choices[0].delta.content async for chunk in chunks]
    assert len([text for text in texts if text]) == 4


@pytest.mark.parametrize('offset', range(8))
async def test_another_engine_continues_the_same_text(start_engine, offset):
    first = await start_engine(engine='e-1')
    second = await start_engine(engine='e-2', seed=5)
    whole = await complete(first)
    rest = await complete(second, headers={'Resume-Offset': str(offset)})
    assert rest.is_complete
    assert rest.ids == whole.ids[offset:]
    assert rest.text == ''.join(
        f'{word} ' for word in whole.text.split()[offset:]
    )


async def test_text_differs_by_prompt_and_version(start_engine):
    engine = await start_engine()
    newer = await start_engine(version='2')
    texts = [
        (await complete(engine)).text,
        (await complete(engine, body_of('another prompt'))).text,
        (await complete(newer)).text,
    ]
    assert len(set(texts)) == 3


async def test_length_lies_between_minimum_and_maximum(engine):
    lengths = set()
    for number in range(20):
        body = body_of(f'prompt {number}', min_tokens=2, max_tokens=9)
        stream = await complete(engine, body)
        lengths.add(stream.usage['completion_tokens'])
    assert lengths <= set(range(2, 10))
    assert len(lengths) > 3


@pytest.mark.parametrize(
    ('headers', 'body', 'outcomes'),
    [
        ({'Resume-Offset': '9'}, None, ['refused']),
        ({'Resume-Offset': 'x'}, None, []),
        ({'Request-Id': ''}, None, []),
        ({}, body_of(max_tokens=100_000), ['refused']),
    ],
)
async def test_malformed_request_is_refused(engine, headers, body, outcomes):
    assert (await complete(engine, body, headers=headers)).status == 400
    assert await outcome_of(engine, 'r-1') == outcomes


async def test_cut_stream_has_no_done_marker(engine):
    await engine.set_faults(cut_after=3)
    stream = await complete(engine)
    assert len(stream.ids) == 3
    assert not stream.is_complete
    assert await outcome_of(engine, 'r-1') == ['cut']


async def test_stalled_stream_stays_open_until_the_switch_is_off(engine):
    await engine.set_faults(stall_after=2)
    record = StreamRecord()
    reading = asyncio.create_task(
        engine.complete(body_of(), 'r-1', record=record),
    )
    await wait_running(engine)
    await asyncio.sleep(1.3)
    assert (len(record.ids), record.comments) == (2, 1)
    await engine.set_faults()
    assert (await reading).is_complete


async def test_stalled_stream_may_be_kept_alive(engine):
    await engine.set_faults(stall_after=2, stall_keep_alive=True)
    record = StreamRecord()
    reading = asyncio.create_task(
        engine.complete(body_of(), 'r-1', record=record),
    )
    await engine.wait_for('/load', lambda load: record.comments > 2)
    assert len(record.ids) == 2
    reading.cancel()


async def test_waiting_stream_is_kept_alive(start_engine):
    engine = await start_engine(max_running=1)
    first = asyncio.create_task(complete(engine, LONG, 'r-1'))
    await wait_running(engine)
    second = await complete(engine, request_id='r-2')
    assert second.comments > 1
    assert (await first).is_complete


async def test_crossed_stream_starts_with_events_of_another_request(engine):
    await complete(engine, request_id='r-1')
    await engine.set_faults(crossed=1)
    crossed = await complete(engine, body_of('something else'), 'r-2')
    assert crossed.ids[:4] == ['r-1:0', 'r-1:1', 'r-1:2', 'r-1:7']
    assert crossed.ids[4:] == [f'r-2:{offset}' for offset in range(8)]
    plain = await complete(engine, request_id='r-3')
    assert plain.ids[0] == 'r-3:0'


async def test_silent_engine_sends_no_response(engine):
    await engine.set_faults(silent=True)
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(complete(engine), timeout=0.3)
    assert await outcome_of(engine, 'r-1') == ['silent']


async def test_delay_postpones_completion(engine):
    await engine.set_faults(delay_ms=300)
    started_at = time.monotonic()
    stream = await complete(engine)
    taken_ms = (time.monotonic() - started_at) * 1000
    assert round(taken_ms) >= 300
    assert stream.is_complete


async def test_disconnect_during_delay_is_logged(engine):
    await engine.set_faults(delay_ms=60_000)
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(complete(engine), timeout=0.3)
    log = await engine.wait_for(
        '/log',
        lambda log: log['requests'][0]['outcome'] != 'running',
    )
    assert log['requests'][0]['outcome'] == 'disconnected'


async def test_silenced_connection_silences_running_stream(engine):
    reading = asyncio.create_task(complete(engine, LONG))
    await wait_running(engine)
    await engine.set_faults(silence_connections=True)
    await wait_running(engine, 0)
    async with aiohttp.ClientSession() as session:
        fresh = StandinClient(session, engine.address)
        assert (await complete(fresh, request_id='r-2')).is_complete
    assert not reading.done()
    reading.cancel()


async def test_cancel_ends_a_stream(engine):
    reading = asyncio.create_task(complete(engine, LONG))
    await wait_running(engine)
    cancelled = await engine.post('/requests/r-1/cancel')
    assert cancelled.json() == {'cancelled': True}
    assert not (await reading).is_complete
    assert await outcome_of(engine, 'r-1') == ['cancelled']
    again = await engine.post('/requests/r-1/cancel')
    assert again.json() == {'cancelled': False}
    assert (await engine.get('/load')).json()['kv_pieces_used'] == 0


async def test_disconnect_frees_memory(engine):
    reading = asyncio.create_task(complete(engine, LONG))
    await wait_running(engine)
    reading.cancel()
    await wait_running(engine, 0)
    assert await outcome_of(engine, 'r-1') == ['disconnected']
    assert (await engine.get('/load')).json()['kv_pieces_used'] == 0


async def test_repeated_request_supersedes_running_one(engine):
    first = asyncio.create_task(complete(engine, LONG))
    await wait_running(engine)
    second = await complete(engine, LONG, headers={'Resume-Offset': '2990'})
    assert second.is_complete
    assert not (await first).is_complete
    assert await outcome_of(engine, 'r-1') == ['superseded', 'completed']


async def test_prompt_with_crash_marker_exits(start_engine):
    crashes = []
    engine = await start_engine(exit_process=crashes.append)
    await engine.set_faults(crash_marker='poison')
    await complete(engine)
    assert not crashes
    await complete(engine, body_of('some poison here'), 'r-2')
    assert crashes == [70]


async def test_bad_version_fails_every_completion(start_engine):
    engine = await start_engine(version='2', bad_version='2')
    assert (await complete(engine)).status == 500
    assert await outcome_of(engine, 'r-1') == ['failed']
