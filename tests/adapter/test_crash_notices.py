"""A host that starts learns which crashes its peers know."""

import geranium_relay as relay
from geranium_policy.crash_causes import RequestFingerprints

from .test_feeds import FeedHarness, make_update

KNOWN = relay.AdvertisedStoreState(1, 0, 0, 0)
SENT_S = 10  # longer than crashes are repeated


def test_process_that_starts_is_sent_the_known_crashes() -> None:
    state = FeedHarness().state
    now = state.clock.now()
    request = RequestFingerprints(1, (2,))
    notices = state.crash_causes.record_crash(request, 't1@1', now)
    sender = relay.PeerIdentity('b', 'a', 'b:1', 'b:2', 1)
    state.handle_peer_update(make_update(sender, KNOWN), {})
    state.outbox.take(relay.Audience.NEAR, now + SENT_S)

    state.handle_peer_update(make_update(sender, KNOWN), {})
    _, repeated = state.outbox.take(relay.Audience.NEAR, now)
    restarted = relay.PeerIdentity('b', 'a', 'b:1', 'b:2', 2)
    state.handle_peer_update(make_update(restarted, KNOWN), {})
    _, sent = state.outbox.take(relay.Audience.NEAR, now)

    assert not repeated
    assert {notice.fingerprint for notice in sent} == {
        notice.fingerprint for notice in notices
    }
