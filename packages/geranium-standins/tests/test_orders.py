"""Engine orders: fencing, drains, role changes and loads."""

import asyncio

import pytest
from geranium_standins import LoadSettings

SET_ROLE = {'kind': 'set-role', 'role': 'decode'}

PROMPT = 'the band wants the large room on friday evening ' * 8
SHORT = {'model': 'lm', 'prompt': PROMPT, 'max_tokens': 6}
LONG = {**SHORT, 'max_tokens': 3000}


async def complete(engine, body=None, request_id='r-1'):
    return await engine.complete(body or SHORT, request_id)


async def order(engine, order_id, body, epoch=1):
    return await engine.post(
        '/orders',
        {'order_id': order_id, 'epoch': epoch, 'order': body},
    )


async def wait_done(engine, order_id):
    await engine.wait_for(
        f'/orders/{order_id}',
        lambda body: body['state'] == 'done',
    )


async def state_of(engine, order_id):
    return (await engine.get(f'/orders/{order_id}')).json()['state']


async def load_of(engine):
    return (await engine.get('/load')).json()


async def start_long(engine):
    reading = asyncio.create_task(complete(engine, LONG))
    await engine.wait_for('/load', lambda load: load['running'])
    return reading


async def test_role_change_takes_time_and_refuses_work(start_engine):
    engine = await start_engine(role_change_ms=400)
    accepted = await order(engine, 'o-1', SET_ROLE)
    assert accepted.status == 202
    assert accepted.json() == {'order_id': 'o-1', 'state': 'running'}
    assert (await load_of(engine))['state'] == 'changing-role'
    assert (await complete(engine)).status == 503
    await wait_done(engine, 'o-1')
    assert (await load_of(engine))['role'] == 'decode'
    assert (await complete(engine)).is_complete


async def test_role_change_cuts_running_streams(engine):
    reading = await start_long(engine)
    await order(engine, 'o-1', SET_ROLE)
    stream = await reading
    assert not stream.is_complete
    assert (await engine.log('requests'))[0]['outcome'] == 'cut'


async def test_drain_lets_work_finish_and_the_role_change_cuts_none(engine):
    reading = await start_long(engine)
    await order(engine, 'o-1', {'kind': 'drain'})
    assert await state_of(engine, 'o-1') == 'running'
    assert (await load_of(engine))['state'] == 'draining'
    assert (await complete(engine, request_id='r-2')).status == 503
    assert (await reading).is_complete
    await wait_done(engine, 'o-1')
    await order(engine, 'o-2', SET_ROLE)
    await wait_done(engine, 'o-2')
    assert (await load_of(engine))['state'] == 'draining'
    await order(engine, 'o-3', {'kind': 'resume'})
    assert (await complete(engine, request_id='r-3')).is_complete


async def test_same_role_again_cuts_nothing(engine):
    reading = await start_long(engine)
    done = await order(engine, 'o-1', {'kind': 'set-role', 'role': 'mixed'})
    assert done.json()['state'] == 'done'
    assert (await reading).is_complete


@pytest.mark.parametrize('honours', [True, False])
async def test_lower_epoch_is_fenced_by_engines_that_honour_it(
    start_engine, honours
):
    engine = await start_engine(honours_fencing=honours)
    await order(engine, 'o-1', {'kind': 'drain'}, epoch=5)
    stale = await order(engine, 'o-2', {'kind': 'resume'}, epoch=4)
    accepted = [row['accepted'] for row in await engine.log('orders')]
    assert accepted == [True, not honours]
    if honours:
        assert stale.status == 409
        assert stale.json() == {'type': 'fenced', 'highest_epoch': 5}
    else:
        assert stale.status == 202
        assert (await load_of(engine))['state'] == 'live'


async def test_repeated_order_runs_once(engine):
    await order(engine, 'o-1', SET_ROLE, epoch=1)
    await wait_done(engine, 'o-1')
    await order(engine, 'o-2', {'kind': 'set-role', 'role': 'mixed'}, epoch=2)
    await wait_done(engine, 'o-2')
    again = await order(engine, 'o-1', SET_ROLE, epoch=2)
    assert again.json() == {'order_id': 'o-1', 'state': 'done'}
    load = await load_of(engine)
    assert (load['role'], load['state']) == ('mixed', 'live')
    reused = await order(engine, 'o-1', {'kind': 'drain'}, epoch=2)
    assert (reused.status, reused.json()['type']) == (409, 'order-id-reused')
    repeated = [row['repeated'] for row in await engine.log('orders')]
    assert repeated == [False, False, True, True]


async def test_overlapping_orders_show_in_the_log(start_engine):
    engine = await start_engine(role_change_ms=200)
    await order(engine, 'o-1', SET_ROLE)
    await order(engine, 'o-2', {'kind': 'set-role', 'role': 'prefill'})
    await wait_done(engine, 'o-2')
    assert (await load_of(engine))['role'] == 'prefill'
    overlaps = [row['overlaps'] for row in await engine.log('orders')]
    assert overlaps == [False, True]


async def test_ignored_order_is_never_done(engine):
    await engine.set_faults(ignore_orders=True)
    answer = await order(engine, 'o-1', {'kind': 'drain'})
    assert answer.json()['state'] == 'running'
    await engine.set_faults()
    assert await state_of(engine, 'o-1') == 'running'
    assert (await load_of(engine))['state'] == 'live'


@pytest.mark.parametrize(
    'body',
    [SET_ROLE, {'kind': 'load-model', 'model': 'm', 'version': '2'}],
)
async def test_engine_may_crash_during_a_transition(start_engine, body):
    crashes = []
    engine = await start_engine(exit_process=crashes.append)
    await engine.set_faults(crash_on_order=True)
    await order(engine, 'o-1', body)
    await wait_done(engine, 'o-1')
    assert crashes == [70]


async def test_unknown_order_is_absent_and_malformed_one_refused(engine):
    assert (await engine.get('/orders/none')).status == 404
    assert (await order(engine, 'o-1', {'kind': 'dance'})).status == 400
    assert (await engine.get('/orders/o-1')).status == 404


async def test_loaded_version_changes_the_text_and_clears_the_cache(engine):
    before = await complete(engine, request_id='r-1')
    load = {'kind': 'load-model', 'model': 'model', 'version': '2'}
    await order(engine, 'o-1', load)
    await wait_done(engine, 'o-1')
    after = await complete(engine, request_id='r-2')
    assert (await load_of(engine))['version'] == '2'
    assert before.text != after.text
    assert after.usage['cached_tokens'] == 0


async def test_loading_a_bad_version_makes_completions_fail(start_engine):
    engine = await start_engine(bad_version='2')
    assert (await complete(engine)).status == 200
    load = {'kind': 'load-model', 'model': 'model', 'version': '2'}
    await order(engine, 'o-1', load)
    await wait_done(engine, 'o-1')
    assert (await complete(engine)).status == 500


async def test_adapter_loads_during_running_work(engine):
    reading = await start_long(engine)
    adapter = {'kind': 'load-adapter', 'adapter': 'a', 'version': '1'}
    await order(engine, 'o-1', adapter)
    await wait_done(engine, 'o-1')
    assert (await reading).is_complete


async def test_load_fetches_weights_and_retries_refused_pieces(
    start_engine, platform
):
    mebibyte = 1024 * 1024
    loading = LoadSettings(
        platform_address=platform.address,
        weights_bytes=3 * mebibyte,
    )
    engine = await start_engine(loading=loading)
    await platform.set_faults(weights_bytes_per_second=2 * mebibyte)
    load = {'kind': 'load-model', 'model': 'model', 'version': '2'}
    await order(engine, 'o-1', load)
    assert (await load_of(engine))['state'] == 'loading'
    await wait_done(engine, 'o-1')
    counts = (await platform.get('/weights')).json()
    assert counts['pieces'] == 3
    assert counts['refused'] > 0
