"""Odd entries in the store are left out; the others are followed."""

import sys
from collections.abc import Awaitable, Callable

import geranium_relay as relay
import pytest
from geranium_platform_standins import StandinStore, StandinTarget

from .conftest import Serve, World, target_entry
from .odd_entries import (
    DEEP,
    DEEP_TABLES,
    LONG_NUMBER,
    application_with_raw_values,
    raw,
)
from .waits import wait_for


@pytest.fixture
async def store_address(store_standin: StandinStore, serve: Serve) -> str:
    return await serve(application_with_raw_values(store_standin))


@pytest.mark.parametrize(
    'spec',
    [
        pytest.param(target_entry('127.0.0.1:99999'), id='port'),
        pytest.param(target_entry('127.0.0.1:9', born=2**64), id='born'),
        pytest.param(raw(DEEP), id='deep'),
        pytest.param(raw(DEEP_TABLES), id='deep-tables'),
        pytest.param(
            target_entry('127.0.0.1:9', slots=raw(LONG_NUMBER)), id='number'
        ),
        pytest.param(
            target_entry('127.0.0.1:9', stage=raw(DEEP)), id='deep-field'
        ),
    ],
)
async def test_unreadable_entry_hides_no_other_target(
    world: World, serve: Serve, spec: object
) -> None:
    world.store.put('servers', 't0', spec)
    address = await serve(StandinTarget().application())
    world.store.put('servers', 't2', target_entry(address))
    await wait_for(knows_exactly(world, 't1', 't2'))
    world.store.remove('servers', 't1')
    await wait_for(knows_exactly(world, 't2'))

    async with world.caller.post(
        world.url('/safe/a'), headers=world.headers()
    ) as response:
        assert response.status == 200


async def test_no_depth_of_an_entry_ends_a_read(world: World) -> None:
    feed = world.host._target_feed
    limit = sys.getrecursionlimit()
    for levels in range(limit - 150, limit, 3):
        deep = ''.join(('[' * levels, ']' * levels))
        world.store.put('servers', 't0', raw(deep))
        for _ in range(2):
            await feed._read()
        assert await knows_exactly(world, 't1')()


async def test_unreadable_entry_is_logged_once(
    world: World,
) -> None:
    lines: list[str] = []
    feed = world.host._target_feed
    feed._log = relay.DecisionLog(
        relay.LogSettings(), lines.append, world.host.state.clock.now
    )
    world.store.put('servers', 't0', target_entry('nowhere'))
    world.store.put('servers', 'x' * 5000, target_entry('127.0.0.1:9'))
    for _ in range(4):
        await feed._read()

    unreadable = [line for line in lines if 'target_unreadable' in line]
    assert len(unreadable) == 2
    assert max(map(len, unreadable)) < 500


def knows_exactly(
    world: World, *identities: str
) -> Callable[[], Awaitable[bool]]:
    """Return the condition that a host knows just these targets."""

    async def is_known() -> bool:
        fleet = world.host.state.fleet
        return set(fleet.targets_by_identity) == set(identities)

    return is_known
