"""Engines with odd addresses or reports end no task."""

import json

import pytest
from aiohttp import web
from geranium_model import Engine, Purchase, Role, TargetState
from geraniumd.backends import EngineClient, TargetTransport
from geraniumd.process import (
    TargetError,
    TargetRefusedError,
    TargetSettings,
)

REPORT = {
    'engine': 'e',
    'role': 'mixed',
    'state': 'live',
    'running': 1,
    'waiting': 0,
    'kv_pieces_used': 1,
    'kv_pieces': 10,
    'prefill_tokens_waiting': 0,
    'sampled_ms_ago': 1,
}
ADDRESSES = (
    '127.0.0.1:99999',
    '127.0.0.1:65536',
    '127.0.0.1:',
    '300.0.0.1:80',
    ':80',
    '127.0.0.1:{}'.format('9' * 5000),
)
COUNTS = (
    'running',
    'waiting',
    'kv_pieces_used',
    'kv_pieces',
    'prefill_tokens_waiting',
)
ODD = ('1e999', 'NaN', '1e300', '9' * 400, '9' * 5000, '"x"', 'null')


def engine_at(address):
    return Engine(
        name='e',
        service='s',
        zone='a',
        address=address,
        purchase=Purchase.RESERVED,
        state=TargetState.LIVE,
    )


@pytest.fixture
async def transport():
    opened = TargetTransport(TargetSettings())
    yield opened
    await opened.close()


@pytest.mark.parametrize('address', ADDRESSES)
async def test_call_to_an_unusable_address_is_refused(transport, address):
    with pytest.raises(TargetRefusedError):
        await transport.send('GET', f'http://{address}/load')
    with pytest.raises(TargetError):
        await EngineClient(transport).load(engine_at(address), 0)


@pytest.fixture
async def serve_text():
    runners = []

    async def start(text):
        async def answer(_request):
            return web.Response(text=text)

        application = web.Application()
        application.router.add_route('*', '/{path:.*}', answer)
        runner = web.AppRunner(application)
        await runner.setup()
        runners.append(runner)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        host, port = runner.addresses[0][:2]
        return f'{host}:{port}'

    yield start
    for runner in runners:
        await runner.cleanup()


@pytest.mark.parametrize('odd', [*ODD, '-1'])
@pytest.mark.parametrize('field', COUNTS)
async def test_odd_count_of_a_report_is_malformed(
    transport, serve_text, field, odd
):
    await check_malformed(transport, serve_text, field, odd)


@pytest.mark.parametrize('odd', ODD)
async def test_odd_age_of_a_report_is_malformed(transport, serve_text, odd):
    await check_malformed(transport, serve_text, 'sampled_ms_ago', odd)


async def check_malformed(transport, serve_text, field, odd):
    """Check that a report with another value in a field is rejected."""
    text = json.dumps({**REPORT, field: '?'}).replace('"?"', odd)
    address = await serve_text(text)

    with pytest.raises(TargetError, match='malformed'):
        await EngineClient(transport).load(engine_at(address), 0)


@pytest.mark.parametrize('odd', ODD)
@pytest.mark.parametrize(
    'page',
    [
        '{"events": [], "next": ?}',
        '{"events": [{"kind": "stored", "prefix": ?}], "next": 1}',
    ],
)
async def test_odd_cache_events_are_malformed(transport, serve_text, page, odd):
    address = await serve_text(page.replace('?', odd))

    with pytest.raises(TargetError, match='malformed'):
        await EngineClient(transport).cache_events(engine_at(address), 0)


async def test_ordinary_report_is_read(transport, serve_text):
    address = await serve_text(json.dumps(REPORT))

    report = await EngineClient(transport).load(engine_at(address), 1)

    assert report.load.role is Role.MIXED
