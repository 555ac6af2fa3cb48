"""Hosts, targets, orders and usage reports of the platform."""

import pytest
from geranium_standins.lagged_table import MAX_LAG_S, LaggedTable

ORDER = {
    'epoch': 1,
    'service': 'lm',
    'zone': 'z-a',
    'purchase': 'spot',
}
ROW = {
    'service': 'lm',
    'zone': 'z-a',
    'address': '127.0.0.1:1',
    'purchase': 'spot',
}


def states_in(body):
    return {row['target']: row['state'] for row in body['targets']}


async def states(platform):
    return states_in((await platform.get('/targets')).json())


async def wait_states(platform, expected):
    await platform.wait_for(
        '/targets',
        lambda body: states_in(body) == expected,
    )


async def order(platform, order_id, count):
    body = {**ORDER, 'order_id': order_id, 'count': count}
    answer = await platform.post('/target-orders', body)
    assert answer.status == 202


def test_lagged_table_returns_past_and_future_rows():
    table = LaggedTable()
    table.set_row('a', 'starting', 10)
    table.set_row('a', 'live', 15)
    assert not list(table.rows(9))
    assert list(table.rows(12)) == ['starting']
    assert list(table.rows(15)) == ['live']
    table.set_row('a', None, 12)
    assert not list(table.rows(15))
    assert table.row('a', 11) == 'starting'


def test_lagged_table_prunes_history_beyond_max_lag():
    table = LaggedTable()
    table.set_row('a', 'old', 0)
    table.set_row('a', 'new', 1)
    table.set_row('a', 'newest', MAX_LAG_S + 5)
    assert table.row('a', 0.5) is None
    assert table.row('a', 5) == 'new'


async def test_host_list_lags(platform):
    await platform.put('/hosts/h-1', {'zone': 'z-a', 'kind': 'entry'})
    shown = {'host': 'h-1', 'zone': 'z-a', 'kind': 'entry', 'state': 'live'}
    assert (await platform.get('/hosts')).json()['hosts'] == [shown]
    await platform.set_faults(host_list_lag_ms=60_000)
    assert not (await platform.get('/hosts')).json()['hosts']
    await platform.set_faults()
    assert (await platform.call('DELETE', '/hosts/h-1')).status == 204
    assert not (await platform.get('/hosts')).json()['hosts']
    assert (await platform.call('DELETE', '/hosts/h-1')).status == 404


async def test_target_list_lags(platform):
    await platform.put('/targets/t-1', ROW)
    assert await states(platform) == {'t-1': 'live'}
    await platform.set_faults(target_list_lag_ms=60_000)
    assert not await states(platform)
    await platform.set_faults()
    await platform.call('DELETE', '/targets/t-1')
    assert not await states(platform)


async def test_order_starts_standby_targets_and_releases_surplus(platform):
    await platform.set_faults(start_delay_ms=50, leave_notice_ms=50)
    for name in ('t-1', 't-2', 't-3'):
        await platform.put(f'/targets/{name}', {**ROW, 'state': 'standby'})
    assert not await states(platform)
    await order(platform, 'o-1', 2)
    await wait_states(platform, {'t-1': 'live', 't-2': 'live'})
    await order(platform, 'o-1', 2)
    await order(platform, 'o-2', 1)
    await wait_states(platform, {'t-1': 'live'})
    await order(platform, 'o-3', 3)
    await wait_states(platform, {'t-1': 'live', 't-2': 'live', 't-3': 'live'})
    logged = await platform.log('target_orders')
    assert [row['repeated'] for row in logged] == [False, True, False, False]


async def test_unmet_order_starts_standby_target_registered_later(platform):
    await platform.set_faults(start_delay_ms=0)
    await order(platform, 'o-1', 1)
    await platform.put('/targets/t-1', {**ROW, 'state': 'standby'})
    await platform.put('/targets/t-2', {**ROW, 'state': 'standby'})
    await wait_states(platform, {'t-1': 'live'})


async def test_eviction_takes_the_spot_targets_of_a_zone(platform):
    await platform.set_faults(leave_notice_ms=300)
    await platform.put('/targets/t-1', ROW)
    await platform.put('/targets/t-2', {**ROW, 'purchase': 'reserved'})
    await platform.put('/targets/t-3', {**ROW, 'zone': 'z-b'})
    await platform.put('/targets/t-4', {**ROW, 'state': 'standby'})
    evicted = await platform.post('/evict', {'zone': 'z-a'})
    assert evicted.json() == {'targets': ['t-1']}
    assert await states(platform) == {
        't-1': 'leaving',
        't-2': 'live',
        't-3': 'live',
    }
    await wait_states(platform, {'t-2': 'live', 't-3': 'live'})
    await order(platform, 'o-1', 1)
    assert await states(platform) == {'t-2': 'live', 't-3': 'live'}


@pytest.mark.parametrize('window', ['2026-01-01T00', '2026-01-01T01'])
async def test_usage_reports_are_logged_unchanged(platform, window):
    figures = {
        'band': {'prompt_tokens': 1, 'generated_tokens': 2, 'requests': 3},
    }
    report = {'report_id': 'r', 'epoch': 4, 'figures': figures}
    for _ in range(2):
        answer = await platform.put(f'/usage-reports/{window}', report)
        assert answer.status == 202
    rows = await platform.log('usage_reports')
    assert [row['window'] for row in rows] == [window, window]
    assert rows[0]['figures'] == figures


async def test_weight_store_limits_bytes(platform):
    mebibyte = 1024 * 1024
    await platform.set_faults(weights_bytes_per_second=2 * mebibyte)
    path = '/weights/m/1?piece='
    answers = [await platform.get(f'{path}{piece}') for piece in range(4)]
    assert len(answers[0].text) == mebibyte
    assert answers[-1].status == 429
    assert int(answers[-1].headers['Retry-After'])
    await platform.set_faults(weights_bytes_per_second=0)
    assert (await platform.get(f'{path}0')).status == 429
