"""Networks of runs that execute beside each other."""

import pytest
from geranium_standins.loopback_networks import LoopbackNetwork


def test_networks_that_are_claimed_at_a_time_are_distinct():
    with LoopbackNetwork() as first, LoopbackNetwork() as second:
        assert first.address(1, 2) != second.address(1, 2)


def test_network_is_free_again_at_the_end():
    network = LoopbackNetwork()
    with network:
        address = network.address(1, 2)

    with network:
        assert network.address(1, 2).startswith('127.')
    with pytest.raises(RuntimeError):
        network.address(1, 2)
    assert address.endswith('.1.2')
