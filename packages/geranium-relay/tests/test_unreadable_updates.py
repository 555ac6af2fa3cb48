"""Peer updates of other builds that this build can't read."""

import dataclasses

import pytest
from geranium_relay.peer_updates import (
    MalformedUpdateError,
    decode_peer_update,
    encode_peer_update,
)
from geranium_relay.zone_reports import HostReport, ZoneReport

from .fleet import Fleet
from .test_peer_updates import make_update

UNREADABLE_ADDRESSES = ('', 'h3', 'h3:', ':2', 'h3:x', 'h3:0', 'h3:70000')


def make_datagram(address: str) -> bytes:
    update = make_update('h3')
    sender = dataclasses.replace(update.sender, address=address)
    return encode_peer_update(dataclasses.replace(update, sender=sender))


@pytest.mark.parametrize('address', UNREADABLE_ADDRESSES)
def test_host_without_a_valid_address_does_not_end_the_updates(
    address: str,
) -> None:
    fleet = Fleet(2)
    fleet.run(1)
    node = next(iter(fleet.nodes_by_name.values()))

    node.exchange.datagram_received(make_datagram(address), ('h3', 2))
    fleet.run(1)

    assert [peer.host for peer in node.peers.recipients()] == ['h001']
    assert 'update_unreadable' in fleet.lines[-1]


def test_new_host_without_a_valid_address_is_left_out_of_a_report() -> None:
    known, unreadable = (
        dataclasses.replace(make_update(host).sender, address=address)
        for host, address in (('h4', 'h4:2'), ('h5', ''))
    )
    report = ZoneReport(
        (HostReport(1, 0, ready=True, leaving=False),),
        {},
        {},
        (unreadable, known),
    )

    decoded = decode_peer_update(encode_peer_update(make_update(report=report)))

    assert decoded.report is not None
    assert decoded.report.new_hosts == (known,)


def test_update_without_a_host_is_refused() -> None:
    update = make_update('h3')
    sender = dataclasses.replace(update.sender, host='')
    datagram = encode_peer_update(dataclasses.replace(update, sender=sender))

    with pytest.raises(MalformedUpdateError):
        decode_peer_update(datagram)
