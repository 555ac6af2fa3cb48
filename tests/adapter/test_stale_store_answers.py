"""A store sends an earlier answer once more on a kept connection."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

import pytest
from geranium_coordination import (
    AnswerLostError,
    ConflictError,
    IfVersion,
    StoreError,
    UnavailableError,
    make_version,
)
from geranium_platform.object_store import PlatformStore
from geranium_relay import StoreSettings

from .stale_target import GAP_S, Answer, Moment, StaleTarget

ERA = 1
READ = 7  # the revision that the write replaces
WRITTEN = 8
OLD = {'a': 1}
NEW = {'a': 2}


def describe(name: str, revision: int, spec: object) -> str:
    return json.dumps(
        {'metadata': {'name': name, 'revision': revision}, 'spec': spec}
    )


FIRST_ANSWERS = {
    'list': ('200 OK', '{"items": [], "truncated": false, "storeRevision": 7}'),
    'own object': ('200 OK', describe('host', READ, OLD)),
    'earlier own object': ('200 OK', describe('host', READ - 1, OLD)),
    'other object': ('200 OK', describe('other', WRITTEN, OLD)),
    'conflict': ('409 Conflict', describe('host', READ, OLD)),
    'not found': ('404 Not Found', ''),
    'busy': ('429 Busy', ''),
    'down': ('503 Down', ''),
}


class StaleStore(StaleTarget):
    """Answers a first read and sends its answer twice; runs all writes."""

    def answer(self, identity: str) -> Answer:
        body = describe('host', WRITTEN, NEW)
        return Answer('200 OK', (f'Store-Era: {ERA}',), None, body)


@contextlib.asynccontextmanager
async def store_and_client(
    first: tuple[str, str], moment: Moment
) -> AsyncIterator[tuple[StaleStore, PlatformStore]]:
    status, body = first
    answer = Answer(status, (f'Store-Era: {ERA}',), None, body)
    store = StaleStore(answer, moment)
    server = await asyncio.start_server(store.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()[:2]
    client = PlatformStore(StoreSettings(f'{host}:{port}'))
    yield store, client
    await client.cleanup()
    server.close()


@pytest.mark.parametrize('moment', Moment)
@pytest.mark.parametrize('first', FIRST_ANSWERS)
async def test_write_that_took_effect_is_not_taken_for_one_that_did_not(
    first: str, moment: Moment
) -> None:
    answers = store_and_client(FIRST_ANSWERS[first], moment)
    async with answers as (store, client):
        with contextlib.suppress(UnavailableError):
            await client.read('usage/counts/host')
        await asyncio.sleep(2 * GAP_S)
        condition = IfVersion(make_version(ERA, READ))

        try:
            version = await client.write('usage/counts/host', NEW, condition)
        except StoreError as error:
            version = None
            assert isinstance(error, AnswerLostError)

    assert len(store.ran) == 1
    assert version in {make_version(ERA, WRITTEN), None}


async def test_write_that_changes_nothing_keeps_its_version() -> None:
    first = ('200 OK', describe('host', READ, OLD))
    async with store_and_client(first, Moment.WITH_IT) as (store, client):
        await client.read('usage/counts/host')
        store.answer = lambda _identity: Answer(
            '200 OK', (f'Store-Era: {ERA}',), None, describe('host', READ, NEW)
        )
        condition = IfVersion(make_version(ERA, READ))

        version = await client.write('usage/counts/host', NEW, condition)

    assert version == make_version(ERA, READ)


async def test_conflict_of_a_write_is_told() -> None:
    first = ('200 OK', describe('host', READ, OLD))
    async with store_and_client(first, Moment.WITH_IT) as (store, client):
        await client.read('usage/counts/host')
        store.answer = lambda _identity: Answer(
            '409 Conflict',
            (f'Store-Era: {ERA}',),
            None,
            describe('host', WRITTEN, OLD),
        )
        condition = IfVersion(make_version(ERA, READ))

        with pytest.raises(ConflictError):
            await client.write('usage/counts/host', NEW, condition)
