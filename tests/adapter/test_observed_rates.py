"""A host of a large fleet learns rates from the updates of its peers."""

import dataclasses
import itertools

import geranium_relay as relay
import pytest
from geranium_policy.engine_rates import EngineRates
from geranium_relay.peer_updates import name_hash
from geranium_relay.rate_observations import RateObservation

from .odd_hosts import HostParts, make_target

CONFIGURED = EngineRates()
SENDER = relay.PeerIdentity('h0', 'a', 'h0:1', '127.0.0.1:1', 1)
UPDATE = relay.PeerUpdate(
    sender=SENDER,
    ready=True,
    leaving=False,
    unix_s=0,
    load_by_target={},
    dispatches=(),
    crashes=(),
    usage_by_window={},
    known=relay.AdvertisedStoreState(0, 0, 0, 0),
)


@pytest.mark.parametrize(
    ('enabled', 'peers', 'learned'),
    [(True, 16, 90_000), (True, 15, 50_000), (False, 16, 50_000)],
)
async def test_rates_in_updates_count_in_large_fleets_only(
    peers: int, learned: int, *, enabled: bool
) -> None:
    """The platform's wiring between updates and the selector is at stake."""
    state = HostParts(shared_rates=enabled).state
    for number in range(peers):
        state.peers.add(dataclasses.replace(SENDER, host=f'h{number}'))
    engine = make_target(stage=relay.Stage.PREFILL)
    state.fleet.replace([engine], 0)
    key = name_hash(engine.key)
    seen = itertools.repeat(RateObservation(key, 90_000, 1), 20)

    state.handle_peer_update(
        dataclasses.replace(UPDATE, rate_observations=tuple(seen)),
        {key: engine.key},
    )

    rates = state.target_selector.shared_rates.rates('app', CONFIGURED)
    assert rates.prefill_only_tokens_per_s == pytest.approx(learned)
