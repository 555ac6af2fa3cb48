"""Hosts tell each other at which rates engines have prefilled prompts."""

import dataclasses
import pathlib

import geranium_relay as relay
import pytest
from geranium_relay.rate_observations import MAX_OBSERVATIONS, RateObservation

from . import build_samples as samples
from .fleet import Fleet
from .later_schemas import load_schema
from .test_other_builds import read_as
from .test_topology import HOSTS, MAX_AGE_S, WARM_UP_S

FIRST = RateObservation(2**63, 90_000, 1)
SEEN = (FIRST, RateObservation(5, 4, 0.2))
UPDATE = dataclasses.replace(samples.FULL, rate_observations=SEEN)


def test_observations_round_trip_through_their_encoding() -> None:
    encoded = relay.encode_peer_update(UPDATE)

    assert relay.decode_peer_update(encoded) == UPDATE


def test_older_build_ignores_observations() -> None:
    """A host of ca20e7b must read the rest of the update as before."""
    older = pathlib.Path(__file__).parent / 'builds' / 'ca20e7b'
    schema = load_schema(older / 'peers.capnp')

    read, plain = (
        read_as(schema, 'update', relay.encode_peer_update(update))
        for update in (UPDATE, samples.FULL)
    )

    assert read == plain


def test_observations_that_pile_up_are_bounded() -> None:
    """A host can't reach the hosts of other zones for a while."""
    queue = relay.ObservationQueue()
    for number in range(2 * MAX_OBSERVATIONS):
        queue.forward((RateObservation(number, 1, 1),))

    taken = queue.take(relay.Audience.FAR)

    assert len(taken) == MAX_OBSERVATIONS
    assert taken[-1].target == 2 * MAX_OBSERVATIONS - 1


@pytest.mark.parametrize('sender_rank', [0, 5])
def test_observation_reaches_every_host_once(sender_rank: int) -> None:
    fleet = Fleet(HOSTS)
    fleet.run(WARM_UP_S)
    sender = fleet.zone('a')[sender_rank]
    for node in fleet.nodes:
        node.heard.clear()
    sender.observations.forward(SEEN)

    fleet.run(MAX_AGE_S)

    for node in fleet.nodes:
        heard = [
            seen for update in node.heard for seen in update.rate_observations
        ]
        assert node is sender or heard == list(SEEN)
