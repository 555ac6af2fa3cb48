"""Platform objects: versions, conditions, watches and limits."""

import asyncio

import aiohttp
import pytest


async def wait_watches(platform, count):
    await platform.wait_for('/stats', lambda stats: stats['watches'] >= count)


async def test_versions_share_a_counter_and_never_repeat(platform):
    first = await platform.put('/objects/a/b', {'x': 1})
    other = await platform.put('/objects/c', [2])
    deleted = await platform.call('DELETE', '/objects/a/b')
    again = await platform.put('/objects/a/b', {'x': 1})
    assert deleted.status == 204
    assert first.version < other.version < again.version
    assert (await platform.get('/objects/c')).json() == [2]


@pytest.mark.parametrize(
    ('headers', 'status', 'value'),
    [
        ({'If-Match': '"1"'}, 200, 2),
        ({'If-Match': '"9"'}, 412, 1),
        ({'If-None-Match': '*'}, 412, 1),
        ({'If-Match': 'one'}, 400, 1),
        ({}, 200, 2),
    ],
)
async def test_conditional_write(platform, headers, status, value):
    await platform.put('/objects/k', 1)
    answer = await platform.put('/objects/k', 2, headers=headers)
    present = await platform.get('/objects/k')
    assert answer.status == status
    assert present.json() == value
    if status == 412:
        assert answer.headers['ETag'] == '"1"'


async def test_conditions_on_an_absent_object(platform):
    changed = await platform.put('/objects/k', 1, headers={'If-Match': '"3"'})
    deleted = await platform.call('DELETE', '/objects/k')
    created = await platform.put(
        '/objects/k',
        1,
        headers={'If-None-Match': '*'},
    )
    assert (changed.status, 'ETag' in changed.headers) == (412, False)
    assert deleted.status == 404
    assert created.status == 200


async def test_prefix_lists_by_key(platform):
    for key in ('b/2', 'a', 'b/1', 'c', 'b/10'):
        await platform.put(f'/objects/{key}', key)
    await platform.call('DELETE', '/objects/b/10')
    rows = (await platform.get('/objects?prefix=b/')).json()['objects']
    assert [row['key'] for row in rows] == ['b/1', 'b/2']
    assert [row['value'] for row in rows] == ['b/1', 'b/2']


async def test_value_over_a_mebibyte_is_refused(platform):
    fits = await platform.put('/objects/k', 'a' * (1024 * 1024 - 2))
    larger = await platform.put('/objects/k', 'a' * (1024 * 1024 - 1))
    assert (fits.status, larger.status) == (200, 413)


async def test_watch_returns_on_change_deletion_and_timeout(platform):
    created = asyncio.create_task(platform.get('/objects/k?watch=0'))
    await wait_watches(platform, 1)
    version = (await platform.put('/objects/k', 1)).version
    earlier = version - 1
    assert (await created).version == version
    missed = await platform.get(f'/objects/k?watch={earlier}')
    assert missed.version == version
    path = f'/objects/k?watch={version}'
    assert (await platform.get(f'{path}&wait_ms=20')).status == 304
    deleted = asyncio.create_task(platform.get(path))
    await wait_watches(platform, 4)
    await platform.call('DELETE', '/objects/k')
    assert (await deleted).status == 404


async def test_calls_above_the_rate_limit_are_rejected(platform):
    await platform.set_faults(writes_per_second=2, reads_per_second=3)
    writes = [await platform.put('/objects/k', 1) for _ in range(4)]
    reads = [await platform.get('/objects/k') for _ in range(5)]
    refused = [answer for answer in writes + reads if answer.status == 429]
    assert writes[-1].status == 429
    assert reads[-1].status == 429
    assert all(int(answer.headers['Retry-After']) for answer in refused)
    stats = (await platform.get('/stats')).json()
    assert stats['refused'] == len(refused)
    assert stats['writes'] + stats['reads'] == 9 - len(refused)


async def test_outage_refuses_calls_and_ends_watches(platform):
    watch = asyncio.create_task(platform.get('/objects/k?watch=0'))
    await wait_watches(platform, 1)
    await platform.set_faults(outage=True)
    assert (await watch).status == 503
    assert (await platform.put('/objects/k', 1)).status == 503
    await platform.set_faults()
    assert (await platform.get('/objects/k')).status == 404


async def test_lost_response_follows_write(platform):
    await platform.set_faults(lose_answers=1)
    with pytest.raises(aiohttp.ClientError):
        await platform.put('/objects/k', 1)
    assert (await platform.get('/objects/k')).json() == 1
    assert (await platform.put('/objects/k', 2)).status == 200


async def test_lost_response_may_hang(platform):
    await platform.set_faults(lose_answers=1, lost_answers_hang=True)
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(platform.put('/objects/k', 1), timeout=0.3)
    assert (await platform.get('/objects/k')).json() == 1


async def test_slow_write_takes_effect_after_disconnect(platform):
    await platform.set_faults(delay_ms=1000)
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(platform.put('/objects/k', 1), timeout=0.1)
    assert not await platform.log('writes')
    await platform.wait_for('/log', lambda log: log['writes'])


async def test_refused_write_does_not_consume_lose_answers(platform):
    await platform.put('/objects/k', 1)
    await platform.set_faults(lose_answers=1)
    refused = await platform.put('/objects/k', 2, headers={'If-Match': '"9"'})
    assert refused.status == 412
    assert (await platform.get('/faults')).json()['lose_answers'] == 1


async def test_writes_are_logged_in_order(platform):
    await platform.put('/objects/k', 1)
    await platform.put('/objects/k', 1, headers={'If-Match': '"9"'})
    await platform.call('DELETE', '/objects/k')
    rows = await platform.log('writes')
    assert [(row['operation'], row['version']) for row in rows] == [
        ('put', 1),
        ('delete', 2),
    ]
    assert rows[0]['received_ms'] <= rows[1]['received_ms']
