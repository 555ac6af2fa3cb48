"""Resource usage of real daemons in deployments with stand-ins."""

import asyncio
import json
import statistics
from collections.abc import Iterator, Sequence
from typing import Any

from geranium_standins.deployment import Deployment
from geranium_standins.deployment_settings import DeploymentSettings

from .figures import US_PER_S, Figure
from .probes import CountingProxy, Rates, measure_rates, processor_s
from .world import (
    Size,
    build_document,
    engine_name,
    service_name,
    zone_name,
)

_IDLE = 'idle'
_FULL = 'full configuration'
_RELAY = 'relay'
_SETTLE_S = 4
_WINDOW_S = 10
_DAEMONS = (1, 3, 9)
_ENGINE_COUNTS = (0, 20, 60)
_CONCURRENCY = 16
_REQUESTS = 128
_SHORT_TOKENS, _LONG_TOKENS = 8, 136
_HOST = 'host-1'
_LISTED_TARGET_COUNT = 10
_LISTINGS = (
    ('/hosts', 'hosts'),
    ('/targets', 'targets'),
    ('/objects?prefix=presence/', 'objects'),
)
_PERCENT = '% of a core'
_MEANS = (
    ('processor time', 'processor_percent', _PERCENT),
    ('resident memory', 'resident_bytes', 'B'),
    ('bytes to and from peers', 'peer_bytes', 'B/s'),
)
_SLOW_ENGINE = ('--decode-step-us=60000', '--decode-us-per-sequence=0')
_FAST_ENGINE = ('--decode-step-us=10000', '--decode-us-per-sequence=0')


async def measure_runs() -> list[Figure]:
    """Return the resource usage of daemons without requests."""
    figures: list[Figure] = []
    for daemons in _DAEMONS:
        figures.extend(await _idle_figures(daemons))
    figures.extend(await _engine_figures())
    figures.extend(await _full_figures())
    return figures


async def _idle_figures(daemons: int) -> list[Figure]:
    settings = DeploymentSettings(daemons=daemons, engines=1, targets=1)
    async with Deployment(settings) as deployment:
        await asyncio.sleep(_SETTLE_S)
        rates = await asyncio.gather(
            *(
                measure_rates(deployment, host, _WINDOW_S)
                for host in deployment.daemons_by_host
            ),
        )
    group = f'{_IDLE}, {daemons} daemons, 1 engine'
    return [*_call_figures(group, rates), *_mean_figures(group, rates)]


def _call_figures(group: str, rates: Sequence[Rates]) -> Iterator[Figure]:
    for kind in rates[0].platform_calls_by_kind:
        total = sum(rate.platform_calls_by_kind[kind] for rate in rates)
        name = f'platform calls of all daemons: {kind}'
        yield Figure(group, name, total, '1/s')


def _mean_figures(group: str, rates: Sequence[Rates]) -> Iterator[Figure]:
    for name, attribute, unit in _MEANS:
        mean = statistics.mean(getattr(rate, attribute) for rate in rates)
        yield Figure(group, f'{name}, mean of a daemon', mean, unit)


async def _engine_figures() -> list[Figure]:
    """Measure probing, with many engine rows for a few processes."""
    settings = DeploymentSettings(daemons=1, engines=4, targets=1)
    figures = []
    async with Deployment(settings) as deployment:
        for rows in _ENGINE_COUNTS:
            await _load_rows(deployment, rows)
            await asyncio.sleep(_SETTLE_S)
            rates = await measure_rates(deployment, _HOST, _WINDOW_S)
            group = f'probing {rows} engines'
            figures.append(
                Figure(
                    group,
                    'processor time',
                    rates.processor_percent,
                    _PERCENT,
                ),
            )
            figures.append(
                Figure(group, 'resident memory', rates.resident_bytes, 'B'),
            )
        figures.append(await _probe_bytes(deployment))
        figures.append(await _platform_bytes(deployment))
        figures.extend(await _row_figures(deployment))
    return figures


async def _load_rows(deployment: Deployment, rows: int) -> None:
    document = deployment.configuration_document()
    engines = [row for row in document['targets'] if row['kind'] == 'engine']
    document['targets'] = [
        {**engines[number % len(engines)], 'name': f'row-{number}'}
        for number in range(rows)
    ]
    await deployment.operator.load_configuration(document)


async def _row_figures(deployment: Deployment) -> list[Figure]:
    """Return the bytes per row of the lists that each daemon polls."""
    await _list_targets(deployment)
    platform_url = deployment.platform.url
    figures = []
    for path, rows_name in _LISTINGS:
        response = await deployment.http.get(f'{platform_url}{path}')
        body = await response.read()
        count = len(json.loads(body)[rows_name])
        name = f'bytes of a row of {path}'
        figures.append(Figure('platform', name, len(body) / count, 'B'))
    return figures


async def _list_targets(deployment: Deployment) -> None:
    platform_url = deployment.platform.url
    for number in range(_LISTED_TARGET_COUNT):
        engine = engine_name(number)
        row = {
            'service': service_name(number),
            'zone': zone_name(number),
            'address': f'127.0.0.1:{number}',
        }
        response = await deployment.http.put(
            f'{platform_url}/targets/{engine}',
            json=row,
            raise_for_status=True,
        )
        response.release()


async def _probe_bytes(deployment: Deployment) -> Figure:
    engine = next(iter(deployment.engines_by_name.values()))
    proxy = CountingProxy(engine.addresses['address'])
    async with proxy.listen() as address:
        document = deployment.configuration_document()
        row = document['targets'][0]
        document['targets'] = [{**row, 'address': address}]
        await deployment.operator.load_configuration(document)
        rate = await _bytes_per_s(proxy)
    return Figure('probing', 'bytes to and from one idle engine', rate, 'B/s')


async def _platform_bytes(deployment: Deployment) -> Figure:
    proxy = CountingProxy(deployment.platform.addresses['address'])
    async with proxy.listen() as address:
        overrides = {'platform': {'address': address}}
        await deployment.add_daemon('host-2', 'zone-b', overrides)
        await deployment.wait_ready('host-2')
        rate = await _bytes_per_s(proxy)
        await deployment.daemons_by_host.pop('host-2').stop()
    return Figure(
        'platform',
        'bytes to and from it by an idle daemon, the second of two',
        rate,
        'B/s',
    )


async def _bytes_per_s(proxy: CountingProxy) -> float:
    await asyncio.sleep(_SETTLE_S)
    before = proxy.count
    await asyncio.sleep(_WINDOW_S)
    return (proxy.count - before) / _WINDOW_S


async def _full_figures() -> list[Figure]:
    settings = DeploymentSettings(daemons=1, engines=1, targets=1)
    document = build_document(Size(engines=0)).model_dump(mode='json')
    async with Deployment(settings) as deployment:
        await deployment.operator.load_configuration(document)
        await asyncio.sleep(_SETTLE_S)
        rates = await measure_rates(deployment, _HOST, _WINDOW_S)
    figures = [
        Figure(_FULL, 'processor time', rates.processor_percent, _PERCENT),
        Figure(_FULL, 'resident memory', rates.resident_bytes, 'B'),
    ]
    figures.extend(
        Figure(_FULL, f'platform calls: {kind}', rate, '1/s')
        for kind, rate in rates.platform_calls_by_kind.items()
    )
    return figures


async def measure_relay() -> list[Figure]:
    """Return the processor time of token events and requests."""
    settings = DeploymentSettings(
        daemons=1,
        engines=2,
        targets=1,
        engine_options=_FAST_ENGINE,
    )
    async with Deployment(settings) as deployment:
        secret = await deployment.operator.create_key('k-1')
        await _run_load(deployment, secret, _SHORT_TOKENS)
        idle = await measure_rates(deployment, _HOST, _SETTLE_S)
        short = await _run_load(deployment, secret, _SHORT_TOKENS)
        long = await _run_load(deployment, secret, _LONG_TOKENS)
    per_event = (long.processor_s - short.processor_s) / (
        long.events - short.events
    )
    per_request = short.processor_s - per_event * short.events
    return [
        Figure(_RELAY, 'token event, one a read', per_event * US_PER_S, 'us'),
        Figure(
            _RELAY,
            'streamed request besides its events',
            per_request / _REQUESTS * US_PER_S,
            'us',
        ),
        Figure(
            _RELAY,
            'idle processor time that is in both',
            idle.processor_percent,
            _PERCENT,
        ),
    ]


async def measure_flight() -> list[Figure]:
    """Return the memory of streams in flight."""
    settings = DeploymentSettings(
        daemons=1,
        engines=2,
        targets=1,
        engine_options=_SLOW_ENGINE,
    )
    async with Deployment(settings) as deployment:
        secret = await deployment.operator.create_key('k-1')
        await _run_load(deployment, secret, _SHORT_TOKENS)
        before = await measure_rates(deployment, _HOST, _SETTLE_S)
        streams = asyncio.create_task(
            _run_load(deployment, secret, _LONG_TOKENS, _REQUESTS),
        )
        during = await measure_rates(deployment, _HOST, _SETTLE_S)
        await streams
    resident_growth_bytes = during.resident_bytes - before.resident_bytes
    return [
        Figure('flight', 'streams under way, after 16', _REQUESTS, '1'),
        Figure(
            'flight',
            'a further stream under way',
            resident_growth_bytes / (_REQUESTS - _CONCURRENCY),
            'B',
        ),
    ]


class _LoadResult:
    """Result of a load: forwarded events and the daemon's processor time."""

    def __init__(self, events: int, processor_s: float) -> None:
        self.events = events
        self.processor_s = processor_s


async def _run_load(
    deployment: Deployment,
    secret: str,
    tokens: int,
    parallel: int = _CONCURRENCY,
) -> _LoadResult:
    pid = deployment.daemons_by_host[_HOST].pid
    before = processor_s(pid)
    limit = asyncio.Semaphore(parallel)
    counts = await asyncio.gather(
        *(_stream(deployment, secret, limit, tokens) for _ in range(_REQUESTS)),
    )
    return _LoadResult(sum(counts), processor_s(pid) - before)


async def _stream(
    deployment: Deployment,
    secret: str,
    limit: asyncio.Semaphore,
    tokens: int,
) -> int:
    body: dict[str, Any] = {
        'model': deployment.settings.model_service,
        'prompt': 'A card for Ndapewa and Tuli',
        'max_tokens': tokens,
        'stream': True,
    }
    async with limit:
        async with deployment.http.post(
            deployment.caller_url(_HOST, '/v1/completions'),
            json=body,
            headers={'Authorization': f'Bearer {secret}'},
            raise_for_status=True,
        ) as response:
            text = await response.read()
    return text.count(b'data: {')
