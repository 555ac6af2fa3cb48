"""Odd entries that hold copies of others, up to the longest that fit a list."""

import json
from collections.abc import AsyncIterator
from unittest import mock

import pytest
from geranium_platform.broken_lists import (
    decode_document,
    list_text,
    segments,
)
from geranium_platform.object_store import PlatformStore
from geranium_platform_standins import StandinStore
from geranium_relay import StoreSettings

from .conftest import Serve
from .odd_entries import application_with_raw_values, raw

MEBIBYTE = 1_048_576
MAX_ATTEMPTS = 100  # to decode a part of a body
# JSON has no None, so none of the copies can be decoded.
BROKEN_COPY = '{{"metadata":{{"name":"i-{0:05}","revision":{0}}},"spec":None}}'


def broken_copies(size: int) -> str:
    """Return the list that a faulty script saved."""
    copies = (BROKEN_COPY.format(number) for number in range(size))
    saved = ','.join(copies)[:size]
    return f'[{saved}'


def body_with(name: str, odd: str) -> bytes:
    """Return a list, or the changes of a watch, with an odd entry."""
    items = [
        f'{{"metadata":{{"name":"i-0","revision":7}},"spec":{odd}}}',
        '{"metadata":{"name":"j","revision":8},"spec":{}}',
    ]
    if name == 'events':
        items = [f'{{"object":{item},"deleted":false}}' for item in items]
    listed = ','.join(items)
    return f'{{"{name}":[{listed}],"storeRevision":9}}'.encode()


@pytest.mark.parametrize('name', ['items', 'events'])
@pytest.mark.parametrize(
    'part',
    [BROKEN_COPY.format(1), ',{"metadata":{', '{"object":', '],"a":1', '{"a":'],
)
def test_work_for_an_entry_does_not_grow_with_the_square_of_its_length(
    monkeypatch: pytest.MonkeyPatch, name: str, part: str
) -> None:
    """An entry of 1 MB held the event loops of all hosts for seconds."""
    raw_decode = mock.Mock(wraps=list_text.DECODER.raw_decode)
    monkeypatch.setattr(list_text.DECODER, 'raw_decode', raw_decode)
    odd = part * (MEBIBYTE // len(part))
    decode_document(body_with(name, odd))

    # Each may cost the length of the body, as errors count its lines.
    lengths = [len(call.args[0]) for call in raw_decode.call_args_list]
    long = [length for length in lengths if length > MEBIBYTE / 2]
    assert len(long) < MAX_ATTEMPTS


@pytest.fixture
async def store(
    store_standin: StandinStore, serve: Serve
) -> AsyncIterator[PlatformStore]:
    address = await serve(application_with_raw_values(store_standin))
    client = PlatformStore(StoreSettings(address))
    yield client
    await client.cleanup()


async def names(store: PlatformStore) -> list[str]:
    listing = await store.list_kind('servers')
    return [entry.key for entry in listing.entries]


async def test_entry_of_a_mebibyte_hides_no_other(
    store: PlatformStore, store_standin: StandinStore
) -> None:
    for name in ('i-0', 'i-00000', 'i-00002', 'j'):
        store_standin.put('servers', name, {'is': name})
    odd = broken_copies(MEBIBYTE - 100)
    store_standin.put('servers', 'i-00001', raw(odd))

    for _ in range(2):
        assert await names(store) == [
            'i-0',
            'i-00000',
            'i-00001',
            'i-00002',
            'j',
        ]
    store_standin.remove('servers', 'i-00002')
    assert await names(store) == ['i-0', 'i-00000', 'i-00001', 'j']


async def test_end_of_an_odd_entry_is_asked_for_once(
    store: PlatformStore, store_standin: StandinStore
) -> None:
    """Each call of the store is billed."""
    store_standin.put('servers', 'i-1', raw(broken_copies(500)))
    store_standin.put('servers', 'j', {})
    await names(store)
    calls: list[str] = []
    read = store._client.read

    async def record(path: str, *given: object, **named: object) -> object:
        calls.append(path)
        return await read(path, *given, **named)

    store._client.read = record  # type: ignore[method-assign]
    for _ in range(3):
        assert await names(store) == ['i-1', 'j']
    assert len(calls) == 3

    store_standin.put('servers', 'i-1', raw(broken_copies(600)))
    assert await names(store) == ['i-1', 'j']
    assert len(calls) == 5


async def test_copy_of_an_entry_that_is_gone_names_no_target(
    store: PlatformStore, store_standin: StandinStore
) -> None:
    """Requests went on reaching a target that had left (review/9)."""
    listed = ['i-1a', 'i-3c', 'i-5e', 'i-7f']
    copies = []
    for number, name in enumerate(listed):
        spec = {'is': name}
        store_standin.put('servers', name, spec)
        metadata = {'name': name, 'revision': 100 + number}
        copies.append({'metadata': metadata, 'spec': spec, 'status': None})
    saved = json.dumps(copies, separators=(',', ':'))[:-30]
    store_standin.put('servers', 'i-4d-saved', raw(saved))

    assert await names(store) == sorted([*listed, 'i-4d-saved'])
    store_standin.remove('servers', 'i-5e')
    for _ in range(2):
        assert await names(store) == ['i-1a', 'i-3c', 'i-4d-saved', 'i-7f']


async def test_many_odd_entries_hide_no_other(
    store: PlatformStore, store_standin: StandinStore
) -> None:
    expected = sorted(map('n{}'.format, range(60)))
    for name in expected:
        store_standin.put('servers', name, {'is': name})
    for name in expected[::2]:
        store_standin.put('servers', name, raw('{"cut":"'))

    for _ in range(3):
        assert await names(store) == expected


async def test_many_odd_entries_are_looked_through_in_turn(
    store: PlatformStore,
    store_standin: StandinStore,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Entries of 50 kB with an odd value took a second with each read."""
    decode_body = mock.Mock(wraps=segments.decode_body)
    monkeypatch.setattr(segments, 'decode_body', decode_body)
    filling = ','.join('1' * 25_000)
    for number in range(12):
        odd = f'{{"is":{number},"odd":None,"filling":[{filling}]}}'
        store_standin.put('servers', f'n{number}', raw(odd))
    readable = 0
    for _ in range(20):
        decode_body.reset_mock()
        listing = await store.list_kind('servers')
        assert len(listing.entries) == 12
        bodies = [entry.body for entry in listing.entries]
        readable = sum(isinstance(body, dict) for body in bodies)
        searched = [len(call.args[0]) for call in decode_body.call_args_list]
        pages = 1 + len(listing.entries)
        assert sum(searched) <= pages * segments.MAX_SEARCHED_LENGTH
    assert readable == 12
    assert not searched
