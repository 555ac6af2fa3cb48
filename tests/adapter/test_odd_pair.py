"""Hosts with an odd entry in the list go on telling each other of targets."""

import pathlib

import pytest
from geranium_platform_standins import StandinStore

from .conftest import Serve, target_entry
from .host_pair import Pair, run_pair
from .odd_entries import (
    DEEP,
    LONG_NUMBER,
    application_with_raw_values,
    raw,
)
from .waits import wait_for

ODD_ENTRIES = {
    'deep': raw(DEEP),
    'number': raw(LONG_NUMBER),
    'born': target_entry('127.0.0.1:9', born=1 << 64),
    'port': target_entry('127.0.0.1:99999'),
    'surrogate': target_entry('127.0.0.1:9', zone='\ud800'),
    'long': target_entry('127.0.0.1:9', zone='x' * 70000),
}


@pytest.fixture
async def store_address(store_standin: StandinStore, serve: Serve) -> str:
    return await serve(application_with_raw_values(store_standin))


@pytest.mark.parametrize('name', ODD_ENTRIES)
async def test_odd_entry_keeps_no_host_from_its_peers(
    store_standin: StandinStore,
    store_address: str,
    tmp_path: pathlib.Path,
    name: str,
    capfd: pytest.CaptureFixture[str],
) -> None:
    async with run_pair(store_address, store_standin, tmp_path) as pair:
        store_standin.put('servers', 'odd', ODD_ENTRIES[name])
        entry = store_standin.spec('servers', 't0')
        store_standin.put('servers', 't9', entry)
        await wait_for(lambda: know_exactly(pair, 't0', 't1', 't2', 't9'))
        store_standin.remove('servers', 't1')
        await wait_for(lambda: know_exactly(pair, 't0', 't2', 't9'))
        for number in range(2):
            status, _ = await pair.request(number, 'safe', f'r{number}')
            assert status == 200
        await wait_for(lambda: are_usable(pair))
        for linked in pair.hosts:
            linked.host._writer.flush()
    logged = capfd.readouterr().out
    assert 'target_unreadable' in logged
    assert 'task_failed' not in logged


async def know_exactly(pair: Pair, *identities: str) -> bool:
    """Return whether all hosts know just these targets."""
    return all(
        set(linked.host.state.fleet.targets_by_identity) == set(identities)
        for linked in pair.hosts
    )


async def are_usable(pair: Pair) -> bool:
    """Return whether the hosts hear each other."""
    return all(linked.host.state.peers.usable() for linked in pair.hosts)
