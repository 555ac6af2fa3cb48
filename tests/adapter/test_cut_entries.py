"""An entry whose bytes are no JSON costs this entry and no other."""

import asyncio
import json
from collections.abc import AsyncIterator

import pytest
from geranium_coordination import Unconditional
from geranium_platform.broken_lists import decode_document
from geranium_platform.object_store import Changes, PlatformStore
from geranium_platform_standins import StandinStore, StandinTarget
from geranium_relay import StoreSettings
from geranium_relay.json_bodies import Unreadable
from hypothesis import given, settings, strategies

from .conftest import CONFIGURATION, Serve, World, target_entry
from .odd_entries import application_with_raw_values, raw
from .test_odd_entries import knows_exactly
from .waits import wait_for

MEBIBYTE = 1048576
CUT = {
    'text': '{"service":"app","address":"127.0.',
    'escape': '{"service":"app","address":"127\\',
    'field': '{"service":"app","address":',
    'name': '{"service":"app","addr',
    'table': '{"service":"app"',
    'list': '{"service":"app","models":[{"name":"m"}',
    'nothing': '',
    'deep': '[' * 200_000,
    'long': '{"service":"'.ljust(MEBIBYTE, 'x'),
    'copy': (
        '{"items":[{"metadata":{"name":"t9","revision":3},"spec":{}},'
        '{"metadata":{"name":"t8","revision":4},"spec":{"a":"b'
    ),
    'copies': (
        '{"items":[{"metadata":{"name":"t9","revision":3},"spec":{}},'
        '{"metadata":{"name":"t8","revision":4},"spec":{}}'
    ),
    'copied': (
        '{"a":{"items":[{"metadata":{"name":"t9","revision":3},"spec":{}},'
        '{"metadata":{"name":"t8","revision":4},"spec":{}}]'
    ),
}
KINDS = (
    'hosts/',
    'coordination/sessions/',
    'coordination/leases/',
    'usage/counts/',
    'usage/seals/',
    'target-versions/',
)


@pytest.fixture
async def store_address(store_standin: StandinStore, serve: Serve) -> str:
    return await serve(application_with_raw_values(store_standin))


@pytest.fixture
async def store(store_address: str) -> AsyncIterator[PlatformStore]:
    client = PlatformStore(StoreSettings(store_address))
    yield client
    await client.cleanup()


@pytest.mark.parametrize('cut', CUT)
async def test_cut_entry_hides_no_target(
    world: World, serve: Serve, cut: str
) -> None:
    # review/3: hosts kept the list of before, with servers that had left.
    world.store.put('servers', 't0', raw(CUT[cut]))
    address = await serve(StandinTarget().application())
    world.store.put('servers', 't2', target_entry(address))
    await wait_for(knows_exactly(world, 't1', 't2'))
    world.store.remove('servers', 't1')
    await wait_for(knows_exactly(world, 't2'))

    async with world.caller.post(
        world.url('/safe/a'), headers=world.headers()
    ) as response:
        assert response.status == 200


@pytest.mark.parametrize('cut', CUT)
@pytest.mark.parametrize('place', ['a', 'm', 'z'])
@pytest.mark.parametrize('prefix', KINDS)
async def test_cut_object_is_there_without_a_body(
    store: PlatformStore,
    store_standin: StandinStore,
    prefix: str,
    place: str,
    cut: str,
) -> None:
    sound = {f'{prefix}{name}': {'n': [name]} for name in ('b', 'c', 'n')}
    for key, body in sound.items():
        await store.write(key, body, Unconditional())
    kind = next(kind for kind, name in store_standin.documents if name == 'b')
    store_standin.put(kind, place, raw(CUT[cut]))

    found = await store.read_prefix(prefix)

    bodies = {entry.key: entry.body for entry in found}
    assert bodies == {**sound, f'{prefix}{place}': Unreadable.VALUE}
    assert store.unreadable.total == 1


@pytest.mark.parametrize('cut', CUT)
async def test_cut_change_is_told_from_no_change(
    store: PlatformStore, store_standin: StandinStore, cut: str
) -> None:
    listing = await store.list_kind('config')
    store_standin.put('config', 'main', {'version': 1})
    store_standin.put('config', 'odd', raw(CUT[cut]))
    store_standin.put('config', 'other', {'version': 2})

    changes = await store.watch_kind('config', listing.version, 1)

    assert changes == Changes(
        {'main': {'version': 1}, 'other': {'version': 2}},
        changes.version,
        unread=1,
    )


async def test_cut_configuration_is_not_taken_for_none(world: World) -> None:
    # Keys of a version that can't be read would be confirmed.
    view = world.host.state.view
    world.store.put('config', 'main', raw(CUT['text']))
    confirmed = view.age_s()
    await asyncio.sleep(1)
    await wait_for(lambda: is_older(view.age_s, confirmed + 0.9))
    assert view.catalogue is not None
    assert view.catalogue.version == 1

    world.store.put('config', 'main', {**CONFIGURATION, 'version': 2})
    await wait_for(lambda: has_version(world, 2))


async def test_cut_neighbour_of_the_configuration_hides_no_version(
    world: World,
) -> None:
    world.store.put('config', 'odd', raw(CUT['text']))
    world.store.put('config', 'main', {**CONFIGURATION, 'version': 2})
    await wait_for(lambda: has_version(world, 2))
    world.store.put('config', 'main', {**CONFIGURATION, 'version': 3})
    await wait_for(lambda: has_version(world, 3))


FIELDS = strategies.sampled_from(['a', 'metadata', 'spec', '"', '\\'])
NAMES = strategies.text(max_size=8)
VALUES = strategies.none() | strategies.integers() | NAMES
FIELDS = strategies.sampled_from(['a', 'metadata', 'spec', '"', '\\'])
SPECS = strategies.recursive(
    VALUES,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(FIELDS, inner, max_size=3)
    ),
    max_leaves=6,
)
LISTS = strategies.lists(SPECS, max_size=4)
CUT_NUMBERS = strategies.sets(strategies.integers(0, 3))
SEPARATORS = ((',', ':'), (', ', ': '), (' ,\n', ' : '))
STYLES = strategies.sampled_from(SEPARATORS)


@given(
    LISTS,
    CUT_NUMBERS,
    strategies.data(),
    STYLES,
    strategies.booleans(),
)
@settings(derandomize=True, max_examples=1500, deadline=None)
def test_any_cut_leaves_all_others(
    specs: list[object],
    cut: set[int],
    source: strategies.DataObject,
    style: tuple[str, str],
    status_follows: bool,
) -> None:
    items, expected = [], []
    for number, spec in enumerate(specs):
        metadata = {'name': f'n{number}', 'revision': number}
        text = json.dumps(spec, separators=style)
        if number in cut:
            text = draw_cut(source, text)
            spec = Unreadable.VALUE
        described = json.dumps(metadata, separators=style)
        status = f'{style[0]}"status"{style[1]}{{}}' if status_follows else ''
        items.append(
            f'{{"metadata"{style[1]}{described}{style[0]}'
            f'"spec"{style[1]}{text}{status}}}'
        )
        expected.append((metadata, spec, text))
    joined = style[0].join(items)
    body = f'{{"items": [{joined}], "truncated": false, "storeRevision": 7}}'

    decoded = decode_document(body.encode())

    assert decoded['storeRevision'] == 7
    assert len(decoded['items']) == len(expected)
    for entry, (metadata, spec, text) in zip(
        decoded['items'], expected, strict=True
    ):
        assert entry['metadata'] == metadata
        if spec is Unreadable.VALUE and _is_json(text):
            continue  # the first digits of a number are one
        assert entry['spec'] == spec


@given(LISTS, CUT_NUMBERS, strategies.data(), STYLES)
@settings(derandomize=True, max_examples=1500, deadline=None)
def test_any_cut_of_a_whole_object_leaves_all_others(
    specs: list[object],
    cut: set[int],
    source: strategies.DataObject,
    style: tuple[str, str],
) -> None:
    texts, sound = [], []
    for number, spec in enumerate(specs):
        document = {
            'metadata': {'name': f'n{number}', 'revision': number},
            'spec': spec,
        }
        text = json.dumps(document, separators=style)
        if number in cut:
            text = draw_cut(source, text)
        else:
            sound.append(document)
        texts.append(text)
    joined = style[0].join(texts)
    body = f'{{"storeRevision": 7, "items": [{joined}], "truncated": false}}'

    decoded = decode_document(body.encode())

    assert decoded['storeRevision'] == 7
    assert [entry for entry in decoded['items'] if _is_whole(entry)] == sound


def _is_whole(entry: object) -> bool:
    return (
        isinstance(entry, dict)
        and 'spec' in entry
        and entry['spec'] is not Unreadable.VALUE
    )


def _is_json(text: str) -> bool:
    try:
        json.loads(text)
    except ValueError:
        return False
    return True


def draw_cut(source: strategies.DataObject, text: str) -> str:
    """Return the text without some of its last characters."""
    length = source.draw(strategies.integers(0, len(text) - 1))
    return text[:length]


async def is_older(age_s: object, least_s: float) -> bool:
    return age_s() >= least_s  # type: ignore[operator]


async def has_version(world: World, version: int) -> bool:
    catalogue = world.host.state.view.catalogue
    return catalogue is not None and catalogue.version == version


# Parts of an odd entry that look like entries without a name were listed.
def test_parts_of_a_cut_entry_are_no_entries() -> None:
    metadata = '{"name": "n0", "revision": 1}'
    spec = '[[], {"metadata": null}, {"metadata": null'
    listed = f'{{"metadata": {metadata}, "spec": {spec}}}'
    body = f'{{"items": [{listed}], "truncated": false, "storeRevision": 7}}'

    decoded = decode_document(body.encode())

    assert [entry['metadata'] for entry in decoded['items']] == [
        {'name': 'n0', 'revision': 1}
    ]
