"""Target changes in updates of a later build."""

import pathlib

import capnp
import geranium_relay as relay
from geranium_relay.peer_updates import decode_peer_update, encode_peer_update

from .test_peer_updates import make_target, make_update

SCHEMA = capnp.SchemaParser().load(
    str(pathlib.Path(relay.__file__).with_name('peers.capnp'))
)


def test_target_of_an_unknown_stage_is_left_out_of_an_update() -> None:
    changes = tuple(
        relay.TargetChange(name, make_target(name)) for name in ('t1', 't2')
    )
    message = SCHEMA.PeerUpdate.from_bytes_packed(
        encode_peer_update(make_update(target_changes=changes))
    )
    later = message.as_builder()
    later.targets[0].stage = 'later'

    update = decode_peer_update(later.to_bytes_packed())

    assert update.target_changes == changes[1:]
