"""A host notices that it is cut, by connections that cost no caller."""

import asyncio
import random

import geranium_relay as relay
import pytest

from .test_peer_updates import make_target

SERVICES = ('llm', 'app')


class Links:
    """Connections to targets, which may be cut."""

    def __init__(self) -> None:
        self.cut_services: set[str] = set(SERVICES)
        self.tried: list[str] = []

    async def is_reachable(self, target: relay.Target) -> bool:
        self.tried.append(target.identity)
        return target.service not in self.cut_services


@pytest.fixture
def links() -> Links:
    return Links()


@pytest.fixture
def reach(links: Links) -> relay.ServiceReach:
    clock = relay.BootClock()
    fleet = relay.Fleet(0, 0)
    fleet.replace(
        [
            make_target(f'{service}-{number}', service=service)
            for service in SERVICES
            for number in range(3)
        ],
        clock.now(),
    )
    log = relay.DecisionLog(relay.LogSettings(), str, clock.now)
    return relay.ServiceReach(
        relay.ReachSettings(cut_interval_s=0.01),
        fleet,
        links,
        clock.now,
        random.Random(1),
        log,
    )


async def settle(reach: relay.ServiceReach) -> None:
    for service in SERVICES:
        await reach.settle(service)


async def test_cut_that_one_service_shows_is_found_for_the_others(
    reach: relay.ServiceReach,
) -> None:
    """The next request of a service that few call would find out too late."""
    reach.suspect('llm')
    await settle(reach)

    assert set(reach.cut_services()) == set(SERVICES)
    await reach.cleanup()


async def test_service_that_is_reached_is_not_cut_with_another(
    reach: relay.ServiceReach, links: Links
) -> None:
    links.cut_services = {'llm'}

    reach.suspect('llm')
    await settle(reach)

    assert reach.cut_services() == ('llm',)
    await reach.cleanup()


async def test_cut_ends_without_a_request(
    reach: relay.ServiceReach, links: Links
) -> None:
    reach.suspect('llm')
    await settle(reach)
    ended = asyncio.Event()
    reach.on_change = lambda _service: (
        None if reach.cut_services() else ended.set()
    )

    links.cut_services.clear()

    async with asyncio.timeout(20):
        await ended.wait()
    assert not reach.is_cut('llm')


async def test_failed_calls_check_a_service_once_at_a_time(
    reach: relay.ServiceReach, links: Links
) -> None:
    links.cut_services.clear()

    for _ in range(20):
        reach.suspect('llm')
        await reach.settle('llm')

    assert len(links.tried) == 3
