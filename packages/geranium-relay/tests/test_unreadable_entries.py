"""Entries of the store that another build has written."""

import asyncio
import contextlib
import dataclasses

import geranium_relay as relay
import pytest
from geranium_coordination import MemoryStore, Unconditional

from .world import make_peers

OTHER = relay.PeerIdentity('h2', 'a', '10.0.0.2:1', '10.0.0.2:2', 5, 9)
ENTRY = dataclasses.asdict(OTHER)
UNREADABLE = (
    None,
    [],
    {},
    {**ENTRY, 'address': None},
    {**ENTRY, 'address': '10.0.0.2:x'},
    {**ENTRY, 'incarnation': '5'},
)


async def read_hosts(body: object) -> tuple[relay.Peers, list[str]]:
    """Return the peers that a host finds, and what it logs."""
    clock = relay.BootClock()
    peers = make_peers(clock)
    store = MemoryStore()
    await store.write(f'hosts/{OTHER.host}', body, Unconditional())
    lines: list[str] = []
    log = relay.DecisionLog(relay.LogSettings(), lines.append, clock.now)
    registry = relay.HostRegistry(relay.RegistrySettings(), store, peers, log)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.05):
            await registry.run()
    return peers, lines


async def test_entry_with_a_field_of_a_later_build_is_read() -> None:
    peers, _ = await read_hosts({**ENTRY, 'later': 1})

    assert peers.recipients() == (OTHER,)


async def test_entry_of_an_earlier_build_without_a_capacity_is_read() -> None:
    entry = dict(ENTRY)
    entry.pop('capacity')

    peers, _ = await read_hosts(entry)

    assert peers.recipients() == (dataclasses.replace(OTHER, capacity=0),)


@pytest.mark.parametrize('body', UNREADABLE)
async def test_entry_without_a_valid_host_is_left_out(body: object) -> None:
    peers, lines = await read_hosts(body)

    assert not peers.recipients()
    assert 'host_entry_unreadable' in lines[0]
