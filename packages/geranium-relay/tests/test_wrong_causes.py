"""Sound requests that were taken for a cause of crashes are served again."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable

import geranium_relay as relay
import pytest

from .world import EVENTS, OK_HEAD, FakeAnswer, World, answer, cut

TARGETS = 8
NEW_PART = 'new'
LATER_S = 20


@pytest.fixture
def later(monkeypatch: pytest.MonkeyPatch) -> Callable[[float], None]:
    """Return a function that advances the clocks of all hosts."""
    skipped_s: list[float] = []
    now = relay.BootClock.now
    monkeypatch.setattr(
        relay.BootClock, 'now', lambda clock: now(clock) + sum(skipped_s)
    )
    return skipped_s.append


class CutAnswer(FakeAnswer):
    """Is lost once as many others are under way."""

    def __init__(self, links: asyncio.Barrier) -> None:
        lost = relay.AnswerLostError('cut', broken=True)
        super().__init__(OK_HEAD, (), lost)
        self._links = links

    async def chunks(self) -> AsyncIterator[bytes]:
        await self._links.wait()
        async for chunk in super().chunks():
            yield chunk


class Hosts:
    """Two hosts with the same targets, and the numbers of requests."""

    def __init__(self) -> None:
        self.first = World(engines=True, targets=TARGETS)
        self.second = World(engines=True, targets=TARGETS)
        self._numbers = itertools.count()

    @property
    def every(self) -> tuple[World, World]:
        return self.first, self.second

    def read_catalogue(self) -> None:
        for world in self.every:
            world.view.confirm(world.clock.now())

    def read_targets(self) -> None:
        for world in self.every:
            world.fleet.confirm(world.clock.now())

    async def serve(self, world: World, shared: str) -> relay.Outcome:
        """Serve a request whose prompt has a part that others have too."""
        number = next(self._numbers)
        names = (shared, f'own-{number}')
        outcome, _ = await world.serve(
            'stream',
            identity=f'r{number}',
            body=b'%d' % number,
            prompt=relay.Prompt(
                20, 3, tuple(relay.PromptPart(name, 10) for name in names)
            ),
        )
        return outcome

    def exchange(self) -> None:
        """Send the crashes of each host to the other one."""
        for sender, receiver in (
            (self.first, self.second),
            (self.second, self.first),
        ):
            now = sender.clock.now()
            _, crashes = sender.outbox.take(relay.Audience.NEAR, now)
            receiver.suspects.apply(crashes, now)


async def lose_links() -> Hosts:
    """Return hosts of which the first has lost its links to all targets."""
    hosts = Hosts()
    hosts.first.targets.reachable = False
    links = asyncio.Barrier(TARGETS)
    hosts.first.targets.add_scripts(
        *itertools.repeat(lambda _call: CutAnswer(links), TARGETS)
    )
    hosts.first.place_once_each()
    await asyncio.gather(
        *(hosts.serve(hosts.first, NEW_PART) for _ in range(TARGETS))
    )
    assert len(set(hosts.first.crashed_targets())) == TARGETS
    hosts.exchange()
    hosts.first.targets.reachable = True
    for world in hosts.every:
        world.targets.add_scripts(*itertools.repeat(answer(*EVENTS), 99))
        outcome = await hosts.serve(world, NEW_PART)
        assert isinstance(outcome, relay.Refused)
    return hosts


async def test_part_is_served_once_its_targets_are_seen_to_serve_on(
    later: Callable[[float], None],
) -> None:
    hosts = await lose_links()
    later(LATER_S)
    hosts.read_catalogue()
    hosts.read_targets()
    for number in range(4 * TARGETS):
        served = await hosts.serve(hosts.second, f'other-{number}')
        assert served == relay.Delivered(200)

    for world in (hosts.second, hosts.first):
        hosts.exchange()
        assert await hosts.serve(world, NEW_PART) == relay.Delivered(200)


async def test_target_that_is_not_known_to_be_listed_disproves_nothing(
    later: Callable[[float], None],
) -> None:
    """Another start of it may have its address."""
    hosts = await lose_links()
    later(LATER_S)
    hosts.read_catalogue()
    for number in range(4 * TARGETS):
        await hosts.serve(hosts.second, f'other-{number}')

    outcome = await hosts.serve(hosts.second, NEW_PART)

    assert isinstance(outcome, relay.Refused)


@pytest.mark.parametrize('route', ['unsafe', 'stream'])
async def test_request_that_completed_between_crashes_is_served(
    route: str,
) -> None:
    world = World()
    world.targets.reachable = False
    for _ in range(3):
        world.targets.add_scripts(cut(), answer(*EVENTS))
        await world.serve(route)
        outcome, _ = await world.serve(route)
        assert outcome == relay.Delivered(200)
