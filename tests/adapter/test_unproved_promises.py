"""A target answers as if a request was not run, without saying so."""

import pytest
from aiohttp import web
from geranium_platform_standins import StandinTarget

PROMISES = (408, 429, 503)


class Promise:
    """Responds with a status; ``headers`` may state who says so."""

    def __init__(self) -> None:
        self.status = 503
        self.headers: dict[str, str] = {}

    async def respond(self, _request: web.Request) -> web.Response:
        return web.Response(status=self.status, headers=self.headers)


@pytest.fixture
def promise() -> Promise:
    return Promise()


@pytest.fixture
def target(promise: Promise) -> StandinTarget:
    return StandinTarget(promise.respond)


@pytest.mark.parametrize('status', PROMISES)
@pytest.mark.parametrize('path', ['/unsafe/x', '/safe/x', '/streaming/x'])
async def test_request_that_may_have_run_is_not_promised_to_be_unrun(
    world, promise: Promise, status: int, path: str
) -> None:
    promise.status = status

    async with world.caller.post(
        world.url(path), headers=world.headers()
    ) as response:
        assert response.status == 502


@pytest.mark.parametrize('status', PROMISES)
async def test_failure_that_a_target_has_signed_is_returned_unchanged(
    world, promise: Promise, status: int
) -> None:
    promise.status = status
    promise.headers = {'Response-Signature': 's'}

    async with world.caller.post(
        world.url('/unsafe/x'), headers=world.headers()
    ) as response:
        assert response.status == status
