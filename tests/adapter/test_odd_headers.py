"""Odd numbers in headers of targets end no request."""

import pytest
from aiohttp import web
from geranium_platform import names

from .conftest import World
from .host_pair import response_headers

MANY = '9' * 400


@pytest.mark.parametrize(
    'number', ['1e308', MANY, '9' * 300, 'nan', 'inf', '-1', '1e-320', 'x']
)
@pytest.mark.parametrize('name', [names.RATE_LIMIT, names.RETRY_AFTER])
async def test_odd_header_of_a_target_ends_no_request(
    world: World, name: str, number: str
) -> None:
    async def respond(request: web.Request) -> web.Response:
        headers = {**response_headers(request), name: number}
        return web.Response(headers=headers)

    world.target._handler = respond

    async with world.caller.post(
        world.url('/safe/a'), headers=world.headers()
    ) as response:
        assert response.status == 200


@pytest.mark.parametrize(
    'number', ['1e308', MANY, '9' * 300, 'nan', 'inf', '-1', 'x']
)
async def test_odd_pause_of_a_target_gives_callers_a_delay(
    world: World, number: str
) -> None:
    async def refuse(request: web.Request) -> web.Response:
        headers = {
            **response_headers(request),
            names.NOT_RUN: '1',
            names.RETRY_AFTER: number,
        }
        return web.Response(status=503, headers=headers)

    world.target._handler = refuse

    for _ in range(2):
        async with world.caller.post(
            world.url('/safe/a'), headers=world.headers()
        ) as response:
            assert response.status == 503
            assert 0 < float(response.headers['Retry-After']) <= 3600
