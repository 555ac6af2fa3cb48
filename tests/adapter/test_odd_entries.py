"""Odd entries in the store are left out; the others are followed."""

from collections.abc import Awaitable, Callable

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


def knows_exactly(
    world: World, *identities: str
) -> Callable[[], Awaitable[bool]]:
    """Return the condition that a host knows just these targets."""

    async def is_known() -> bool:
        fleet = world.host.state.fleet
        return set(fleet.targets_by_identity) == set(identities)

    return is_known
