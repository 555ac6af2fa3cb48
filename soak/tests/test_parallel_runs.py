"""Runs that execute beside each other share no addresses."""

import random

import pytest
from geranium_soak import Environment, EnvironmentSettings, Ledger
from geranium_soak.target_links import TargetLinks
from geranium_standins.loopback_networks import LoopbackNetwork

PORT = 4711  # addresses of a claimed network are used by nobody else


@pytest.fixture
def environments(tmp_path) -> list[Environment]:
    """Return the environments of two runs, without host processes."""
    settings = EnvironmentSettings(
        hosts=0,
        calls=1,
        engines=1,
        folder=tmp_path,
        program=(),
        skews_s=(0,),
    )
    return [Environment(settings, random.Random(seed)) for seed in (1, 2)]


def ip_addresses(environment: Environment) -> set[str]:
    return {
        endpoint.address.rpartition(':')[0]
        for endpoint in environment.fleet.endpoints
    }


async def test_targets_of_two_runs_share_no_address(environments) -> None:
    first, second = environments
    async with first.open(), second.open():
        assert ip_addresses(first)
        assert not ip_addresses(first) & ip_addresses(second)


async def test_links_of_two_runs_to_targets_with_the_same_port() -> None:
    with LoopbackNetwork() as one, LoopbackNetwork() as other:
        links = [TargetLinks(2, Ledger(), each) for each in (one, other)]
        await links[0].add((one.address(2, 2), PORT))
        await links[1].add((other.address(2, 2), PORT))
        for opened in links:
            await opened.close()
