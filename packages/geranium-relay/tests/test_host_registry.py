"""Odd entries of hosts are left out, and no address of a peer ends updates."""

import dataclasses
import math
from typing import Any

import geranium_relay as relay
import pytest
from geranium_coordination import StoredObject

ENTRY: dict[str, Any] = {
    'host': 'h1',
    'zone': 'a',
    'front': '127.0.0.1:9',
    'address': '127.0.0.1:8',
    'incarnation': 5,
    'capacity': 3,
}
ODD_VALUES = (
    None,
    [],
    1.5,
    math.inf,
    '\ud800',
    'a\r\nb',
    'x' * 5000,
    -1,
    1 << 64,
    '127.0.0.1:99999',
    '127.0.0.1:',
    '127.0.0.1:x',
    'nowhere',
)


class FakeStore:
    era = 0

    def __init__(self, *bodies: Any) -> None:
        self._bodies = bodies

    async def read_prefix(self, prefix: str) -> tuple[StoredObject, ...]:
        return tuple(
            StoredObject(f'{prefix}x', 1, body) for body in self._bodies
        )


class Harness:
    def __init__(self, *bodies: Any) -> None:
        clock = relay.BootClock()
        self.lines: list[str] = []
        log = relay.DecisionLog(
            relay.LogSettings(), self.lines.append, clock.now
        )
        own = relay.PeerIdentity('h0', 'a', '127.0.0.1:7', '127.0.0.1:6', 1)
        self.peers = relay.Peers(relay.PeerSettings(), own, clock, log)
        store: Any = FakeStore(*bodies)
        self.registry = relay.HostRegistry(
            relay.RegistrySettings(), store, self.peers, log
        )

    def hosts(self) -> list[str]:
        return [peer.host for peer in self.peers.recipients()]


@pytest.mark.parametrize('odd', ODD_VALUES)
@pytest.mark.parametrize('field', ENTRY)
async def test_odd_entry_of_a_host_hides_no_other(field: str, odd: Any) -> None:
    other = {**ENTRY, 'host': 'h2'}
    harness = Harness({**ENTRY, field: odd}, odd, other)

    await harness.registry._read()

    assert 'h2' in harness.hosts()
    for peer in harness.peers.recipients():
        datagram = encode_update_of(peer)
        assert relay.peer_updates.decode_peer_update(datagram).sender == peer


@pytest.mark.parametrize('address', ['127.0.0.1:99999', '127.0.0.1:', 'x'])
def test_peer_without_a_usable_port_gets_no_updates(address: str) -> None:
    harness = Harness()

    harness.peers.add(relay.PeerIdentity('h1', 'a', '127.0.0.1:7', address, 1))

    assert not harness.hosts()
    assert 'host_entry_unreadable' in harness.lines[0]


def encode_update_of(sender: relay.PeerIdentity) -> bytes:
    update = relay.PeerUpdate(
        sender=dataclasses.replace(sender),
        ready=True,
        leaving=False,
        unix_s=1,
        load_by_target={},
        dispatches=(),
        crashes=(),
        usage_by_window={},
        known=relay.AdvertisedStoreState(1, 0, 0, 0),
    )
    return relay.peer_updates.encode_peer_update(update)
