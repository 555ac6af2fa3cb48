"""A host that starts again stays within the retry budget of all hosts."""

import asyncio
import contextlib

from aiohttp import web
from geranium_platform import PlatformSettings
from geranium_platform.host import Host
from geranium_platform.reloading import SettingsFile
from geranium_platform_standins import StandinTarget, render_settings

from .conftest import knows_targets, make_settings, responds_ok, target_entry
from .waits import wait_for

REQUESTS = 20
TARGETS = 3


async def refuse(request: web.Request) -> web.StreamResponse:
    identity = request.headers.get('Request-Id', '')
    return web.Response(
        status=503, headers={'Not-Executed': '1', 'Request-Id': identity}
    )


@contextlib.asynccontextmanager
async def running(settings: PlatformSettings, path, caller):
    """Run a host until the block ends."""
    path.write_text(render_settings(settings))
    host = Host(SettingsFile(path, settings))
    task = asyncio.create_task(host.run())
    checked = settings.listen.ready
    await wait_for(lambda: responds_ok(caller, f'http://{checked}/ready'))
    await wait_for(lambda: knows_targets(host))
    yield
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def test_restarted_host_repeats_by_its_own_requests_only(
    world, store_address, serve, tmp_path
) -> None:
    """The process before it may have used the host's part of the allowance."""
    targets = [StandinTarget(refuse) for _ in range(TARGETS)]
    world.store.remove('servers', 't1')
    for number, target in enumerate(targets):
        address = await serve(target.application())
        world.store.put('servers', f'full{number}', target_entry(address))
    settings = make_settings(
        platform={'address': store_address}, bootstrap=False
    )
    async with running(settings, tmp_path / 'restarted.toml', world.caller):
        front = settings.listen.front
        url = f'http://{front}/unsafe/x'
        for number in range(REQUESTS):
            headers = world.headers(Request_Id=f'n{number}')
            async with world.caller.post(url, headers=headers) as response:
                assert response.status == 503

    arrivals = sum(len(refusing.requests) for refusing in targets)
    ratio = settings.bounds.retry_budget_ratio
    assert REQUESTS <= arrivals <= REQUESTS * (1 + ratio)
