"""Odd numbers in headers of the store are as if they were not there."""

import geranium_relay as relay
import pytest
from aiohttp import web
from geranium_platform import names
from geranium_platform.object_store import PlatformStore

from .conftest import Serve

ODD_ERAS = ('-1', '9' * 300, '9' * 8000, 'nan', 'x', '')


@pytest.mark.parametrize('number', ['inf', 'nan', '-1', '9' * 400, 'x'])
def test_odd_delay_of_the_store_is_not_taken(number: str) -> None:
    response = relay.StoreResponse(429, {'Retry-After': number}, b'')

    assert response.retry_after_s is None


def test_delay_of_the_store_is_taken() -> None:
    response = relay.StoreResponse(429, {'Retry-After': '2'}, b'')

    assert response.retry_after_s == 2


@pytest.mark.parametrize('era', ODD_ERAS)
async def test_odd_era_does_not_end_the_reads(serve: Serve, era: str) -> None:
    eras = ['1', era, '1']

    async def answer(_request: web.Request) -> web.Response:
        return web.json_response(
            {'items': [], 'storeRevision': 1},
            headers={names.STORE_ERA: eras.pop(0)},
        )

    application = web.Application()
    application.router.add_get('/objects/servers', answer)
    store = PlatformStore(relay.StoreSettings(await serve(application)))
    for _ in range(3):
        await store.list_kind('servers')

    assert store.era == 1
    await store.cleanup()
