"""``PlatformStore`` fulfils the contract of ``ObjectStore``."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import web
from geranium_coordination import (
    AnswerLostError,
    ConflictError,
    IfAbsent,
    IfVersion,
    UnavailableError,
    Unconditional,
)
from geranium_platform.object_store import (
    Changes,
    HistoryGone,
    PlatformStore,
)
from geranium_platform_standins import StandinStore
from geranium_relay import StoreSettings

from .conftest import Serve

KEY = 'usage/counts/host'


@pytest.fixture
async def store(store_address: str) -> AsyncIterator[PlatformStore]:
    client = PlatformStore(StoreSettings(store_address))
    yield client
    await client.cleanup()


async def test_created_object_is_read_back(store: PlatformStore) -> None:
    version = await store.write(KEY, {'a': 1}, IfAbsent())

    found = await store.read(KEY)

    assert found is not None
    assert (found.version, found.body) == (version, {'a': 1})


async def test_write_conditions_are_enforced(store: PlatformStore) -> None:
    version = await store.write(KEY, {'a': 1}, IfAbsent())

    with pytest.raises(ConflictError) as conflict:
        await store.write(KEY, {'a': 2}, IfAbsent())
    assert conflict.value.present_version == version
    with pytest.raises(ConflictError):
        await store.write(KEY, {'a': 2}, IfVersion(version - 1))
    assert await store.write(KEY, {'a': 2}, IfVersion(version)) > version


async def test_unconditional_write_creates_and_replaces(
    store: PlatformStore,
) -> None:
    await store.write(KEY, {'a': 1}, Unconditional())
    await store.write(KEY, {'a': 2}, Unconditional())

    found = await store.read(KEY)

    assert found is not None
    assert found.body == {'a': 2}


async def test_absent_object_is_none_and_its_deletion_a_conflict(
    store: PlatformStore,
) -> None:
    assert await store.read(KEY) is None
    with pytest.raises(ConflictError):
        await store.delete(KEY, IfVersion(3))


async def test_list_goes_through_all_pages(
    store: PlatformStore,
    store_standin: StandinStore,
) -> None:
    store_standin.page_size = 2
    for number in range(5):
        store_standin.put('servers', f's{number}', {'n': number})

    listing = await store.list_kind('servers')

    assert [found.key for found in listing.entries] == [
        's0',
        's1',
        's2',
        's3',
        's4',
    ]


@pytest.mark.parametrize('status', [429, 503])
async def test_rejected_call_raises_unavailable(
    store: PlatformStore,
    store_standin: StandinStore,
    status: int,
) -> None:
    store_standin.faults.status = status

    with pytest.raises(UnavailableError):
        await store.write(KEY, {}, IfAbsent())
    with pytest.raises(UnavailableError):
        await store.read(KEY)


async def test_lost_response_of_a_write_raises_answer_lost(
    store: PlatformStore,
    store_standin: StandinStore,
) -> None:
    store_standin.faults.loses_answers = True

    with pytest.raises(AnswerLostError):
        await store.write(KEY, {'a': 1}, IfAbsent())

    assert store_standin.names('geranium-usage-counts') == ['host']


async def test_lost_write_is_sent_once(
    store: PlatformStore,
    store_standin: StandinStore,
) -> None:
    store_standin.put('geranium-usage-counts', 'host', {})
    store_standin.faults.loses_answers = True
    with contextlib.suppress(AnswerLostError):
        await store.write(KEY, {'a': 1}, IfVersion(2))

    assert [call[0] for call in store_standin.calls] == ['PUT']


async def test_watch_returns_changed_and_deleted_objects(
    store: PlatformStore,
    store_standin: StandinStore,
) -> None:
    store_standin.put('servers', 'kept', {'n': 1})
    store_standin.put('servers', 'gone', {'n': 2})
    listing = await store.list_kind('servers')
    store_standin.put('servers', 'kept', {'n': 3})
    store_standin.remove('servers', 'gone')

    changes = await store.watch_kind('servers', listing.version, 0.1)

    assert isinstance(changes, Changes)
    assert changes.body_by_name == {'kept': {'n': 3}, 'gone': None}


async def test_watch_reports_dropped_history(
    store: PlatformStore,
    store_standin: StandinStore,
) -> None:
    store_standin.faults.history_gone = True

    assert await store.watch_kind('servers', 1, 0.1) == HistoryGone()


ODD_DOCUMENTS = (
    None,
    3,
    {},
    {'spec': {}},
    {'metadata': None, 'spec': {}},
    {'metadata': [], 'spec': {}},
    {'metadata': {'revision': 4}, 'spec': {}},
    {'metadata': {'name': 7, 'revision': 4}, 'spec': {}},
    {'metadata': {'name': [], 'revision': 4}, 'spec': {}},
    {'metadata': {'name': 't0'}, 'spec': {}},
    {'metadata': {'name': 't0', 'revision': '4'}, 'spec': {}},
    {'metadata': {'name': 't0', 'revision': -1}, 'spec': {}},
    {'metadata': {'name': 't0', 'revision': 1e999}, 'spec': {}},
    {'metadata': {'name': 't0', 'revision': 10**300}, 'spec': {}},
)


@pytest.mark.parametrize('odd', ODD_DOCUMENTS)
async def test_object_without_name_or_revision_hides_no_other(
    store: PlatformStore, store_standin: StandinStore, odd: Any
) -> None:
    left_out: list[tuple[str, int]] = []
    store.unreadable.on_change = lambda *counted: left_out.append(counted)
    store_standin.put('servers', 't1', {'n': 1})
    store_standin.documents['servers', 't0'] = odd

    for _ in range(2):
        listing = await store.list_kind('servers')

    assert [found.key for found in listing.entries] == ['t1']
    assert left_out == [('servers', 1)]


@pytest.mark.parametrize(
    'odd',
    [
        None,
        3,
        {'object': 3},
        {'object': {}},
        {'object': {'metadata': 3, 'spec': {}}},
        {'object': {'metadata': {'name': []}, 'spec': {}}},
        {'object': {'metadata': {'name': 7}, 'spec': {}}},
    ],
)
async def test_odd_change_hides_no_other(
    store: PlatformStore,
    store_standin: StandinStore,
    odd: Any,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    listing = await store.list_kind('servers')
    store_standin.put('servers', 't1', {'n': 1})
    events = store_standin.events_since('servers', 0)
    monkeypatch.setattr(
        store_standin, 'events_since', lambda *_since: [odd, *events]
    )

    changes = await store.watch_kind('servers', listing.version, 1)

    assert isinstance(changes, Changes)
    assert changes.body_by_name == {'t1': {'n': 1}}


@pytest.mark.parametrize('path', ['servers', 'servers?watch=1&waitMs=0'])
@pytest.mark.parametrize(
    'body',
    [
        b'{"error": "no"}',
        b'{"items": 3, "events": 3, "storeRevision": 3}',
        b'{"items": [], "events": [], "storeRevision": "3"}',
        b'{"items": [], "events": [], "storeRevision": -1}',
        b'{"items": [], "events": [], "storeRevision": 1e999}',
        b'{"items": [], "events": [], "storeRevision": NaN}',
        b'[]',
        b'x',
    ],
)
async def test_odd_body_of_a_list_is_unavailable(
    serve: Serve, body: bytes, path: str
) -> None:
    async def answer(_request: web.Request) -> web.Response:
        return web.Response(body=body)

    application = web.Application()
    application.router.add_get('/objects/servers', answer)
    client = PlatformStore(StoreSettings(await serve(application)))

    with pytest.raises(UnavailableError):
        if path == 'servers':
            await client.list_kind('servers')
        else:
            await client.watch_kind('servers', 1, 0)
    await client.cleanup()


@pytest.mark.parametrize('last', ['a&b', 'a#b', 'a b', 'a%2fb', 'a+b', 'ü'])
async def test_list_goes_on_after_an_odd_name(
    store: PlatformStore, store_standin: StandinStore, last: str
) -> None:
    store_standin.page_size = 1
    store_standin.put('servers', last, {})
    store_standin.put('servers', 'zz', {})

    async with asyncio.timeout(2):
        listing = await store.list_kind('servers')

    assert {found.key for found in listing.entries} == {last, 'zz'}


async def test_unreachable_store_is_unavailable() -> None:
    client = PlatformStore(StoreSettings('127.0.0.1:1'))

    with pytest.raises(UnavailableError):
        await client.write(KEY, {}, IfAbsent())


@pytest.mark.parametrize(
    ('key', 'kind', 'name'),
    [
        ('hosts/h1', 'geranium-hosts', 'h1'),
        ('usage/counts/h1.5', 'geranium-usage-counts', 'h1.5'),
        ('usage/seals/359', 'geranium-usage-seals', '359'),
        ('target-versions/s', 'geranium-target-versions', 's'),
        (
            'coordination/sessions/h1.f5',
            'geranium-coordination-sessions',
            'h1.f5',
        ),
        (
            'coordination/leases/operations',
            'geranium-coordination-leases',
            'operations',
        ),
    ],
)
async def test_document_lies_where_other_builds_look_for_it(
    store: PlatformStore, key: str, kind: str, name: str
) -> None:
    await store.write(key, {'a': 1}, Unconditional())

    listing = await store.list_kind(kind)

    assert [found.key for found in listing.entries] == [name]
