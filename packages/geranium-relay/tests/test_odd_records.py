"""Odd records in the store end neither the duty nor a request."""

import math
from typing import Any

import geranium_relay as relay
import pytest
from geranium_coordination import MemoryStore, Unconditional
from geranium_relay.json_bodies import Unreadable

from . import origins
from .test_duties import WINDOW, FakeCloud, report

ODD_BODIES: tuple[Any, ...] = (
    None,
    3,
    'text',
    [],
    {},
    {str(WINDOW): None},
    {str(WINDOW): 3},
    {str(WINDOW): {'team': True}},
    {str(WINDOW): {'team': -1}},
    {str(WINDOW): {'team': 1 << 70}},
    {str(WINDOW): {'team': math.inf}},
    {str(WINDOW): {'team': '7'}},
    {'9' * 5000: {'team': 7}},
    {'\u0663' * 5000: {'team': 7}},
)
ODD_RECORDS: tuple[Any, ...] = (
    None,
    3,
    [],
    {},
    {'versions': None},
    {'versions': 3},
    {'versions': 'v1'},
    {'versions': [[]]},
    {'versions': [None]},
    {'versions': ['\ud800']},
)


@pytest.fixture
def log() -> relay.DecisionLog:
    clock = relay.BootClock()
    return relay.DecisionLog(relay.LogSettings(), print, clock.now)


@pytest.mark.parametrize('odd', [Unreadable.VALUE, None, 3, 'text', []])
async def test_unreadable_counts_are_not_removed(
    odd: Any, log: relay.DecisionLog
) -> None:
    # They were taken for those of a process that has ended.
    store = MemoryStore()
    body = {str(WINDOW): {'team': 2}}
    await store.write('usage/counts/h0', odd, Unconditional())
    await store.write('usage/counts/h1', body, Unconditional())

    await report(store, FakeCloud(), log)

    assert await store.read('usage/counts/h0') is not None


@pytest.mark.parametrize('odd', ODD_BODIES)
async def test_odd_counts_hide_no_other(
    odd: Any, log: relay.DecisionLog
) -> None:
    store = MemoryStore()
    cloud = FakeCloud()
    body = {str(WINDOW): {'team': 2}}
    await store.write('usage/counts/h0', odd, Unconditional())
    await store.write('usage/counts/h1', body, Unconditional())

    await report(store, cloud, log)

    assert (WINDOW, {'team': 2}, 7) in cloud.reports


@pytest.mark.parametrize('odd', ODD_RECORDS)
async def test_odd_record_of_versions_says_that_others_are_possible(
    odd: Any,
) -> None:
    store = MemoryStore()
    await store.write('target-versions/s', odd, Unconditional())
    fleet = relay.Fleet(2, 2)
    records = origins.make_records(fleet, lambda: 1000, store)

    assert await records.may_have_begun_elsewhere('s', 'v1')
    assert not await records.may_have_begun_elsewhere('other', 'v1')


@pytest.mark.parametrize('odd', ODD_RECORDS)
async def test_odd_record_of_versions_is_replaced(odd: Any) -> None:
    store = MemoryStore()
    await store.write('target-versions/s', odd, Unconditional())
    fleet = relay.Fleet(2, 2)
    fleet.replace((), 0)
    records = origins.make_records(fleet, lambda: 1000, store)

    recorded = await records._read()
    assert recorded is not None
    await records._update(recorded)

    found = await store.read('target-versions/s')
    assert found is not None
    assert found.body == {'versions': []}
