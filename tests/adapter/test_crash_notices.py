"""Hosts that missed notices of crashes learn the causes all the same."""

import dataclasses

import geranium_relay as relay
import pytest
from geranium_platform.host_state import HostState
from geranium_policy.crash_causes import RequestFingerprints

from .test_feeds import FeedHarness, make_update

HARMFUL_PART = 2
KNOWN = relay.AdvertisedStoreState(1, 0, 0, 0)
SENT_S = 10  # longer than notices are repeated
SENDER = relay.PeerIdentity('b', 'a', 'b:1', 'b:2', 1)


def make_request(number: int) -> RequestFingerprints:
    return RequestFingerprints(number, (HARMFUL_PART,))


def send(sender: HostState, receiver: HostState) -> None:
    """Send the crashes of a sender's next update to a receiver."""
    now = sender.clock.now()
    _, crashes = sender.outbox.take(relay.Audience.NEAR, now)
    update = make_update(SENDER, KNOWN)
    crashes = (*crashes, *sender.crash_proofs())
    receiver.handle_peer_update(
        dataclasses.replace(update, crashes=crashes), {}
    )


def rejects(state: HostState) -> bool:
    return state.crash_causes.rejects(make_request(9), state.clock.now())


@pytest.fixture
def witness() -> HostState:
    """Return the state of a host that saw crashes some time ago."""
    state = FeedHarness().state
    now = state.clock.now() - SENT_S
    for number in range(3):
        notices = state.crash_causes.record_crash(
            make_request(number), f't{number}@1', now
        )
        state.outbox.record_crashes(notices, now)
    return state


def test_host_that_was_cut_off_learns_the_cause(witness: HostState) -> None:
    returned = FeedHarness().state

    send(witness, returned)

    assert rejects(witness)
    assert rejects(returned)


def test_host_that_missed_a_completion_is_corrected(
    witness: HostState,
) -> None:
    other = FeedHarness().state
    send(witness, other)
    other.crash_causes.record_completion(make_request(9), other.clock.now())

    send(witness, other)
    send(other, witness)

    assert not rejects(witness)
    assert not rejects(other)
