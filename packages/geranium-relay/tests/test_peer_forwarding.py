"""Requests that a host passes on: taken by one host, sent once, counted once."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import geranium_relay as relay
import pytest
from geranium_policy.peer_choice import (
    PeerChoiceSettings,
    PeerChooser,
    PeerState,
)
from geranium_relay.peer_updates import name_hash

from .world import (
    EVENTS,
    FakeAnswer,
    World,
    answer,
    cut,
    failing,
    make_peers,
    silent,
)

HOSTS = 5
INTERVALS = 40
PER_INTERVAL = 20
UNREACHED = failing(relay.NotSentError('refused'))
Serve = Callable[
    [relay.ForwardedRequest, relay.ResponseSink], Awaitable[relay.Outcome]
]


async def refuse(
    _request: relay.ForwardedRequest, _sink: relay.ResponseSink
) -> relay.Outcome:
    return relay.Refused('unreached', 0.1, elsewhere=True)


class Taker:
    """A host that takes requests, with a relay and targets of its own."""

    def __init__(self, name: str, serve: Serve | None = None) -> None:
        self.name = name
        self.world = World()
        self.taken: list[relay.ForwardedRequest] = []
        self.port = 0
        self.open_requests = relay.OpenRequests(self.world.clock.now)
        self._serve_request = serve or self.world.relay.serve_forwarded
        log = relay.DecisionLog(
            relay.LogSettings(),
            self.world.lines.append,
            self.world.clock.now,
        )
        self._server = relay.PeerServer(
            relay.PeerServerSettings(),
            relay.PeerHandlers(self._serve, self._judge),
            self.world.origins,
            self.open_requests,
            self.world.clock.now,
            log,
        )

    async def start(self) -> None:
        with socket.create_server(('127.0.0.1', 0)) as probe:
            self.port = probe.getsockname()[1]
        await self._server.start(f'127.0.0.1:{self.port}')

    def stop(self) -> None:
        self._server.stop_listening()

    async def _serve(
        self, request: relay.ForwardedRequest, sink: relay.ResponseSink
    ) -> relay.Outcome:
        self.taken.append(request)
        return await self._serve_request(request, sink)

    async def _judge(self, key: str) -> object:
        raise NotImplementedError(key)


@contextlib.asynccontextmanager
async def run_hosts(
    world: World, *takers: Taker, unreached: tuple[str, ...] = ()
) -> AsyncIterator[None]:
    """Let hosts take the requests of a world's host.

    Args:
        world: The host that passes requests on.
        *takers: The hosts that take them.
        unreached: Names of the hosts that say that they don't reach the
            service.
    """
    peers = make_peers(world.clock)
    for taker in takers:
        await taker.start()
        identity = relay.PeerIdentity(
            taker.name, 'a', f'{taker.name}:1', f'127.0.0.1:{taker.port}', 1
        )
        cut_services = ('service',) if taker.name in unreached else ()
        peers.handle_update(make_update(identity, cut_services), time.time())
    world.replace_peers(peers)
    yield
    for taker in takers:
        taker.stop()


def make_update(
    sender: relay.PeerIdentity, cut_services: tuple[str, ...]
) -> relay.PeerUpdate:
    return relay.PeerUpdate(
        sender=sender,
        ready=True,
        leaving=False,
        unix_s=time.time(),
        load_by_target={},
        dispatches=(),
        crashes=(),
        usage_by_window={},
        known=relay.AdvertisedStoreState(1, 0, 0, 0),
        unreached=tuple(map(name_hash, cut_services)),
    )


def make_cut_world(*scripts: Callable) -> World:
    """Return a world whose host reaches no target."""
    world = World(*scripts, *itertools.repeat(UNREACHED, 20))
    world.targets.reachable = False
    return world


@pytest.mark.parametrize('route', ['safe', 'unsafe', 'stream', 'resumable'])
async def test_request_of_a_cut_host_is_sent_by_another(route: str) -> None:
    world, taker = make_cut_world(), Taker('h2')
    taker.world.targets.add_scripts(answer(*EVENTS))
    async with run_hosts(world, taker):
        outcome, sink = await world.serve(route)

    assert outcome == relay.Delivered(200)
    assert sink.data == b''.join(EVENTS)
    assert sink.finished
    assert len(taker.world.targets.calls) == 1
    call = taker.world.targets.calls[0]
    assert call.job.arrival.body == b'body'
    assert call.job.arrival.identity == 'r1'


async def test_later_requests_of_a_cut_host_try_no_target() -> None:
    world, taker = make_cut_world(), Taker('h2')
    taker.world.targets.add_scripts(answer(b'a'), answer(b'b'))
    async with run_hosts(world, taker):
        await world.serve('safe')
        calls = len(world.targets.calls)
        outcome, _ = await world.serve('unsafe')

    assert outcome == relay.Delivered(200)
    assert len(world.targets.calls) == calls


async def test_request_is_counted_for_usage_by_the_host_that_sends_it() -> None:
    world, taker = make_cut_world(), Taker('h2')
    taker.world.targets.add_scripts(answer(b'a'))
    async with run_hosts(world, taker):
        await world.serve('safe')

    window = int(time.time() // 5)
    assert not world.usage.recent(window + 1)
    counts = taker.world.usage.recent(window + 1)
    assert list(counts.values()) == [{'team': 1}]


async def test_request_is_not_passed_on_twice() -> None:
    """The host that takes it is cut, too, and knows a third one."""
    world, taker, third = make_cut_world(), Taker('h2'), Taker('h3')
    taker.world.targets.reachable = False
    taker.world.targets.add_scripts(*itertools.repeat(UNREACHED, 20))
    async with run_hosts(world, taker), run_hosts(taker.world, third):
        outcome, _ = await world.serve('unsafe')

    assert isinstance(outcome, relay.Refused)
    assert taker.taken
    assert not third.taken


async def test_refused_request_is_passed_on_to_the_next_host() -> None:
    takers = [Taker(name, refuse) for name in ('h2', 'h3', 'h4')]
    world = make_cut_world()
    async with run_hosts(world, *takers):
        outcome, _ = await world.serve('unsafe')

    assert isinstance(outcome, relay.Refused)
    assert [len(taker.taken) for taker in takers] == [1, 1, 1]


async def test_host_that_does_not_reach_the_service_gets_no_request() -> None:
    world, taker, other = make_cut_world(), Taker('h2'), Taker('h3')
    other.world.targets.add_scripts(*itertools.repeat(answer(b'a'), 8))
    async with run_hosts(world, taker, other, unreached=('h2',)):
        for _ in range(8):
            outcome, _ = await world.serve('safe')
            assert outcome == relay.Delivered(200)

    assert not taker.taken


@pytest.mark.parametrize(
    ('route', 'expected'),
    [('unsafe', relay.Failed), ('safe', relay.Delivered)],
)
async def test_request_whose_host_is_lost_may_have_run(
    route: str, expected: type
) -> None:
    """Only a request that may run twice is passed on to another host."""
    lost = Taker('h2', drop)
    world, other = make_cut_world(), Taker('h3')
    other.world.targets.add_scripts(answer(b'a'))
    async with run_hosts(world, lost, other):
        prefer(world, lost)
        outcome, _ = await world.serve(route)

    assert isinstance(outcome, expected)
    assert len(other.taken) == (expected is relay.Delivered)
    if other.taken:
        assert other.taken[0].progress.runs == 1
        assert other.taken[0].progress.sends == 1


@dataclasses.dataclass(frozen=True)
class TwoHosts:
    """What two hosts did for one request that both may have got."""

    calls: tuple[int, int]
    counts: tuple[dict[str, int], ...]
    sends_told: tuple[int, ...]


async def pass_on_twice(*scripts: Callable) -> TwoHosts:
    """Let one host send a safe request and fail, and a second one take it."""
    world, first, other = make_cut_world(), Taker('h2'), Taker('h3')
    first.world.targets.add_scripts(*scripts)
    targets = tuple(first.world.fleet.targets_by_identity.values())
    first.world.fleet.replace(targets[:2], world.clock.now())
    other.world.targets.add_scripts(answer(b'a'))
    async with run_hosts(world, first, other):
        prefer(world, first)
        await world.serve('safe')
    next_window = int(time.time() // 5) + 1
    return TwoHosts(
        (len(first.world.targets.calls), len(other.world.targets.calls)),
        tuple(
            count
            for host in (first, other)
            for count in host.world.usage.recent(next_window).values()
        ),
        tuple(taken.progress.sends for taken in other.taken),
    )


async def test_sends_of_a_host_that_refused_count_at_the_next() -> None:
    """Otherwise the first send of the next host takes no retry."""
    rejected = failing(relay.NotRunError('status 503'))
    seen = await pass_on_twice(UNREACHED, rejected)

    assert seen.sends_told == (1,)


async def test_runs_at_another_host_count_against_the_route() -> None:
    """The route allows two runs; the first host has had both."""
    seen = await pass_on_twice(cut(), cut())

    assert seen.calls == (2, 0)


async def test_request_that_two_hosts_sent_is_counted_once() -> None:
    seen = await pass_on_twice(cut(), cut())

    assert seen.counts == ({'team': 1},)


async def test_host_that_is_gone_has_not_taken_the_request() -> None:
    world, gone, other = make_cut_world(), Taker('h2'), Taker('h3')
    other.world.targets.add_scripts(answer(b'a'))
    async with run_hosts(world, gone, other):
        gone.stop()
        prefer(world, gone)
        outcome, _ = await world.serve('unsafe')

    assert outcome == relay.Delivered(200)


async def test_caller_that_leaves_ends_the_request_at_the_other_host() -> None:
    world, taker = make_cut_world(), Taker('h2')
    arrived = asyncio.Event()

    def hold(call: relay.TargetCall) -> FakeAnswer:
        arrived.set()
        return silent(call)

    taker.world.targets.add_scripts(hold)
    async with run_hosts(world, taker):
        serving = asyncio.create_task(world.serve('unsafe'))
        await arrived.wait()
        serving.cancel()
        await taker.open_requests.wait_until_idle(world.clock.now() + 20)

    assert not taker.open_requests.count
    assert not taker.world.loads.open_count


async def test_request_is_sent_by_the_host_that_has_the_share_of_a_limit() -> (
    None
):
    world, taker, other = World(), Taker('h2'), Taker('h3')
    taker.world.targets.add_scripts(answer(b'a'))
    for target in world.fleet.targets_by_identity.values():
        world.limit(target, 1, holder='h2')
    async with run_hosts(world, taker, other):
        outcome, _ = await world.serve('unsafe')

    assert outcome == relay.Delivered(200)
    assert not world.targets.calls
    assert not other.taken


async def test_host_without_a_permit_left_says_when_the_next_one_comes() -> (
    None
):
    async def refuse_until_permit(
        _request: relay.ForwardedRequest, _sink: relay.ResponseSink
    ) -> relay.Outcome:
        return relay.Refused('engines busy', 7)

    world, taker = World(), Taker('h2', refuse_until_permit)
    for target in world.fleet.targets_by_identity.values():
        world.limit(target, 1, holder='h2')
    async with run_hosts(world, taker):
        outcome, _ = await world.serve('unsafe')

    assert outcome == relay.Refused('engines busy', 7)


async def test_request_at_another_host_at_its_deadline_may_have_run() -> None:
    world, taker = make_cut_world(), Taker('h2')
    taker.world.targets.add_scripts(silent)
    async with run_hosts(world, taker):
        outcome, _ = await world.serve('unsafe')

    assert outcome == relay.TimedOut()


async def test_stream_that_breaks_at_a_host_goes_on_at_its_version() -> None:
    """The origin comes with the response: the host may be gone thereafter."""
    world, first, other = make_cut_world(), Taker('h2'), Taker('h3')
    first.world.targets.add_scripts(cut(EVENTS[0]), cut())
    other.world.targets.add_scripts(answer(*EVENTS[1:]))
    for taker in (first, other):
        versioned = [
            dataclasses.replace(target, software_version='v7')
            for target in taker.world.fleet.targets_by_identity.values()
        ]
        taker.world.fleet.replace(versioned, world.clock.now())
    async with run_hosts(world, first, other):
        prefer(world, first)
        await world.serve('resumable')

    assert first.taken[0].progress.version is None
    assert await world.origins.find('r1', 'service') == 'v7'


async def drop(
    request: relay.ForwardedRequest, _sink: relay.ResponseSink
) -> relay.Outcome:
    raise ConnectionResetError(request.arrival.identity)


def prefer(world: World, taker: Taker) -> None:
    """Let all requests go to one host first: the others have much to do."""
    for name in ('h2', 'h3'):
        running = 0 if name == taker.name else 100
        load = relay.TargetLoad(running, (0,) * 4)
        world.loads.update_peer(name, {1: load}, world.clock.now(), 'a')


def test_cut_fleet_spreads_its_requests_over_the_hosts_that_are_left() -> None:
    """Loads are told every 0.2 s; meanwhile all choose by the same ones."""
    chooser = PeerChooser(PeerChoiceSettings(), random.Random(1))
    running = [0 for _ in range(HOSTS)]
    sent = list(running)
    for _ in range(INTERVALS):
        told = [
            PeerState(str(number), same_zone=True, in_flight=count)
            for number, count in enumerate(running)
        ]
        chosen = [int(chooser.choose(told)) for _ in range(PER_INTERVAL)]
        assert len(set(chosen)) > 1
        for number in chosen:
            running[number] += 1
            sent[number] += 1
        running = [max(count - 4, 0) for count in running]

    fair = INTERVALS * PER_INTERVAL / len(sent)
    assert all(fair / 2 <= count <= 2 * fair for count in sent)
