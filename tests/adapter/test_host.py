"""A host serves callers over HTTP with stand-ins for the platform."""

import asyncio

import pytest
from aiohttp import ClientPayloadError, ClientTimeout, web
from geranium_platform_standins import StandinTarget
from yarl import URL

from .conftest import HOST_IP
from .waits import ticks

FORGED = {
    'Tenant': 'other',
    'Kv-Hold': 'h',
    'Kv-Source': '10.0.0.1:80/x',
    'Kv-Backup': '10.0.0.1:80',
    'Pin-Ms': '4000',
    'Expect-Instance': 'i-x',
    'Request-Priority': '0',
    'Stage': 'prefill',
}


async def post(world, path: str, **options):
    headers = options.pop('headers', None) or world.headers()
    return await world.caller.post(
        world.url(path),
        headers=headers,
        **options,
    )


async def wait_for_status(world, status: int):
    """Send requests until the status is not 200; return that response."""
    async for _ in ticks():
        response = await post(world, '/safe/x')
        if response.status != 200:
            assert response.status == status
            return response


async def test_request_reaches_its_target_unchanged(world) -> None:
    path = '/unsafe/a%2Fb/../c?q=%20x&y'
    url = URL(world.url(path), encoded=True)

    response = await world.caller.post(
        url,
        data=b'body',
        headers=world.headers(X_Own='kept'),
    )

    assert response.status == 200
    assert await response.read() == b'body'
    assert response.headers['Response-Signature'] == 'signed'
    assert len(world.target.requests) == 1
    request = world.target.requests[0]
    assert request.raw_path == path
    assert request.headers['X-Own'] == 'kept'
    assert request.headers['Host'] == 'example'
    assert request.headers['Tenant'] == 'team'
    assert request.headers['Expect-Instance'] == 't1'
    assert 0 < int(request.headers['Deadline-Ms']) <= 700


async def test_reserved_headers_of_a_caller_are_dropped(
    world,
) -> None:
    response = await post(
        world,
        '/safe/x',
        headers={**world.headers(), **FORGED},
    )

    assert response.status == 200
    assert len(world.target.requests) == 1
    request = world.target.requests[0]
    assert request.headers['Tenant'] == 'team'
    assert request.headers['Expect-Instance'] == 't1'
    for name in ('Authorization', 'Kv-Hold', 'Kv-Source', 'Kv-Backup'):
        assert name not in request.headers
    for name in ('Pin-Ms', 'Stage', 'Request-Priority'):
        assert name not in request.headers


@pytest.mark.parametrize(
    ('path', 'authorization', 'status'),
    [
        ('/unsafe/x', 'Bearer other', 401),
        ('/nothing/x', 'Bearer key', 404),
    ],
)
async def test_unknown_key_or_route_is_rejected(
    world,
    path: str,
    authorization: str,
    status: int,
) -> None:
    headers = world.headers(Authorization=authorization)

    response = await post(world, path, headers=headers)

    assert response.status == status
    assert not world.target.requests


async def test_withdrawn_key_is_rejected_and_a_new_key_accepted(world) -> None:
    configuration = dict(world.store.spec('config', 'main'))
    configuration['version'] = 2
    configuration['tenants'] = [{'name': 'team', 'apiKeys': ['new']}]
    world.store.put('config', 'main', configuration)
    await wait_for_status(world, 401)

    headers = world.headers(Authorization='Bearer new')

    assert (await post(world, '/safe/x', headers=headers)).status == 200


async def test_invalid_configuration_keeps_the_previous_one(
    world,
) -> None:
    world.store.put('config', 'main', {'version': 'broken'})
    await asyncio.sleep(0.3)

    assert (await post(world, '/safe/x')).status == 200


async def test_directory_lists_this_host(world) -> None:
    directory = world.settings.listen.directory
    url = f'http://{directory}/resolve?name=example&zone=a&region=r'

    async with world.caller.get(url) as response:
        resolved = await response.json()

    assert resolved['addresses'] == [world.settings.listen.front]
    assert 0 < resolved['ttlS'] <= 5


async def test_keys_expire_while_the_store_is_unavailable(world) -> None:
    world.store.faults.status = 503
    response = await wait_for_status(world, 503)

    assert float(response.headers['Retry-After']) > 0


class TestFailingTargets:
    """Each failure of a target has its own response status."""

    @pytest.fixture
    def target(self) -> StandinTarget:
        return StandinTarget(self.behave)

    async def behave(self, request: web.Request) -> web.StreamResponse:
        match request.match_info['path'].partition('/')[2]:
            case 'full':
                return web.Response(status=503, headers={'Not-Executed': '1'})
            case 'crossed':
                return web.Response(
                    headers={
                        'Request-Id': 'another',
                        'Response-Signature': 's',
                    },
                )
            case 'encoded':
                return web.Response(
                    headers={
                        'Request-Id': 'r1',
                        'Response-Signature': 's',
                        'Content-Encoding': 'gzip',
                    },
                )
            case 'slow':
                await asyncio.sleep(30)
            case 'reset':
                request.transport.abort()
            case 'half':
                return await self.send_half(request)
        return web.Response(headers={'Request-Id': 'r1'})

    async def send_half(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={'Request-Id': 'r1', 'Response-Signature': 's'},
        )
        await response.prepare(request)
        await response.write(b'id: 1\ndata: x\n\n')
        request.transport.abort()
        return response

    @pytest.mark.parametrize(
        ('path', 'status'),
        [
            ('/unsafe/full', 503),
            ('/unsafe/crossed', 502),
            ('/unsafe/encoded', 502),
            ('/unsafe/unsigned', 502),
            ('/unsafe/slow', 504),
            ('/unsafe/reset', 502),
            ('/unsafe/half', 502),
        ],
    )
    async def test_status_names_the_failure(
        self,
        world,
        path: str,
        status: int,
    ) -> None:
        response = await post(world, path, data=b'x')

        assert response.status == status
        assert ('Retry-After' in response.headers) == (status == 503)
        assert len(world.target.requests) == 1

    async def test_truncated_stream_does_not_look_complete(self, world) -> None:
        response = await post(world, '/streaming/half')

        assert response.status == 200
        with pytest.raises(ClientPayloadError):
            await response.read()

    async def test_request_is_cancelled_when_the_caller_disconnects(
        self, world
    ) -> None:
        with pytest.raises(TimeoutError):
            await post(
                world,
                '/unsafe/slow',
                timeout=ClientTimeout(total=0.2),
            )
        async for _ in ticks():
            if world.target.requests[0].transport is None:
                return


async def test_windows_are_reported_once_by_the_holder(world) -> None:
    for _ in range(3):
        assert (await post(world, '/safe/x')).status == 200

    async for _ in ticks():
        if world.cloud.calls:
            break

    assert len(world.cloud.calls) == 1
    call = world.cloud.calls[0]
    assert call.path == 'usage'
    assert call.holder == 'host-1'
    assert call.body['counts'] == {'team': 3}
    sealed = world.store.names('geranium-usage-seals')
    assert sealed == [str(call.body['windowId'])]


async def test_metrics_count_requests_by_outcome(world) -> None:
    await post(world, '/safe/x')
    port = world.settings.listen.metrics_port

    address = f'{HOST_IP}:{port}'
    async with world.caller.get(f'http://{address}/metrics') as shown:
        text = await shown.text()

    counted = 'geraniumdrum_requests{outcome="Delivered",service="app"} 1'
    assert counted in text.splitlines()
    assert 'geraniumdrum_request_duration_seconds_bucket' in text
