"""Under any faults: one holder at most, growing epochs, no conflicts."""

import pytest

from .exploration import explore
from .history import Applied, Begun, Checker, LeaseAcquired
from .scripts import (
    DEDUPLICATING,
    FAULTS_BY_SCRIPT,
    FENCING,
    NON_FENCING,
    SEEDS,
    scripted,
)
from .simulation import simulate

RECEIVERS = (FENCING, NON_FENCING, DEDUPLICATING)
FROZEN_BEFORE_SEND = 'frozen with order in hand'


def test_leases_under_drawn_faults():
    explore(receivers=(), interleavings=60)()


@pytest.mark.parametrize('receiver', RECEIVERS, ids=lambda row: row.name)
def test_orders_under_drawn_faults(receiver):
    explore(receivers=(receiver,), interleavings=40)()


@pytest.mark.parametrize('name', FAULTS_BY_SCRIPT)
@pytest.mark.parametrize('receiver', RECEIVERS, ids=lambda row: row.name)
def test_orders_under_scripted_faults(name, receiver):
    for seed in SEEDS:
        scenario = scripted(name, seed, receiver)
        Checker().check(simulate(scenario).history)


def test_order_in_hand_of_a_frozen_sender_is_refused():
    """The successor continues, and the receiver rejects the late copy."""
    refused = 0
    for seed in SEEDS:
        scenario = scripted(FROZEN_BEFORE_SEND, seed, FENCING)
        world = simulate(scenario)
        holders = [
            event.session
            for event in world.history
            if isinstance(event, LeaseAcquired)
        ]
        assert len(set(holders)) > 1
        last = [row for row in world.history if isinstance(row, Applied)][-1]
        assert last.at > scenario.length_s - 3
        refused += world.endpoints_by_name[FENCING.name].refused_count
    assert refused


def test_nothing_different_until_the_frozen_sender_released():
    """An engine that ignores fencing waits for the frozen sender."""
    for seed in SEEDS:
        scenario = scripted(FROZEN_BEFORE_SEND, seed, NON_FENCING)
        events = simulate(scenario).history
        thaw_at = next(
            row.at for row in events if isinstance(row, Begun) and row.at > 3
        )
        thaw_at += 12
        during = {
            row.order_id
            for row in events
            if isinstance(row, Applied) and thaw_at - 5 < row.at < thaw_at
        }
        after = {
            row.order_id
            for row in events
            if isinstance(row, Applied) and row.at > thaw_at
        }
        assert len(during) < 2
        assert len(after) > 2
