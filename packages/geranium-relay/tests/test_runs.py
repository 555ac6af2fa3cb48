"""Every admitted request ends with one true outcome."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import random
import time
from collections.abc import AsyncIterator, Callable, Sequence

import geranium_relay as relay
import pytest
from geranium_policy.prompt_placement import Placement
from geranium_policy.retry_share import RetryShareSettings
from geranium_policy.suspects import SuspectRegister, SuspectSettings

WHOLE = relay.AnswerHead(200, (), signed=True)
EVENTS = (b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n', b'id: 3\ndata: c\n\n')
Script = Callable[[relay.TargetCall], 'FakeAnswer']


class FakeAnswer:
    def __init__(
        self,
        head: relay.AnswerHead,
        chunks: Sequence[bytes],
        error: Exception | None = None,
    ) -> None:
        self.head = head
        self.closed = False
        self._chunks = chunks
        self._error = error

    async def chunks(self) -> AsyncIterator[bytes]:
        for chunk in self._chunks:
            yield chunk
        if self._error is not None:
            raise self._error

    def close(self) -> None:
        self.closed = True


class FakeTargets:
    """Answers each call by the next script and remembers the calls."""

    def __init__(self, *scripts: Script) -> None:
        self.calls: list[relay.TargetCall] = []
        self.dropped: list[relay.CacheHandle] = []
        self.reachable = True
        self.chosen = ''
        self.answers: list[FakeAnswer] = []
        self._scripts = list(scripts)

    async def send(self, call: relay.TargetCall) -> FakeAnswer:
        self.calls.append(call)
        script = self._scripts.pop(0)
        answer = script(call)
        if answer.head.status == 0:
            await asyncio.Event().wait()
        self.answers.append(answer)
        return answer

    async def read_prompt(self, call: relay.TargetCall) -> relay.CacheHandle:
        raise relay.NotSentError('nobody reads here')

    async def is_reachable(self, target: relay.Target) -> bool:
        return self.reachable

    async def drop_prompt(self, kept: relay.CacheHandle) -> None:
        self.dropped.append(kept)


class FakeSink:
    def __init__(self) -> None:
        self.head: relay.AnswerHead | None = None
        self.data = b''
        self.finished = False

    async def start(self, head: relay.AnswerHead, length: int | None) -> None:
        assert self.head is None
        self.head = head

    async def write(self, data: bytes) -> None:
        self.data += data

    async def finish(self) -> None:
        self.finished = True


def answer(*chunks: bytes, head: relay.AnswerHead = WHOLE) -> Script:
    return lambda _call: FakeAnswer(head, chunks)


def cut(*chunks: bytes) -> Script:
    lost = relay.AnswerLostError('cut', broken=True)
    return lambda _call: FakeAnswer(WHOLE, chunks, lost)


def failing(error: Exception) -> Script:
    def script(_call: relay.TargetCall) -> FakeAnswer:
        raise error

    return script


def silent(_call: relay.TargetCall) -> FakeAnswer:
    return FakeAnswer(relay.AnswerHead(0, (), signed=False), ())


def make_route(
    name: str, kind: relay.RouteKind, **changes: object
) -> relay.Route:
    terms = {
        'resumable': False,
        'timeout_s': 0.6,
        'target_latency_s': 0.1,
        'target_gap_s': 0.25,
        'priority': 0,
        'max_attempts': 2,
        'public': False,
        **changes,
    }
    return relay.Route(
        name=name,
        host='example',
        prefix=f'/{name}/',
        kind=kind,
        shares=(relay.Share('service', 1),),
        **terms,
    )


ROUTES = (
    make_route('safe', relay.RouteKind.SAFE),
    make_route('unsafe', relay.RouteKind.UNSAFE),
    make_route('stream', relay.RouteKind.STREAM),
    make_route('resumable', relay.RouteKind.STREAM, resumable=True),
    make_route('open', relay.RouteKind.SAFE, public=True),
)


class World:
    """A relay over fake targets."""

    def __init__(self, *scripts: Script, engines: bool = False) -> None:
        self.clock = relay.BootClock()
        self.targets = FakeTargets(*scripts)
        self.suspects = SuspectRegister(SuspectSettings(max_crashes=2))
        self.lines: list[str] = []
        self.usage = relay.UsageCounter(
            relay.UsageSettings(5, 10), relay.TrueTime(self.clock)
        )
        self.view = relay.CatalogueView(
            relay.FreshnessSettings(5), self.clock.now
        )
        self.view.accept(self._catalogue(engines), self.clock.now())
        self.relay = self._make_relay(engines)

    def place_apart(self) -> None:
        """Have the next prompt read by one engine for another."""
        reader, target, *_ = self.fleet.targets_by_identity.values()
        self.targets.chosen = target.key
        placement = Placement(reader.key, target.key, 10, 0, 0.01)
        self.placing.place_prompt = lambda *_: placement

    async def serve(
        self,
        route: str,
        key: str | None = 'key',
        **changes: object,
    ) -> tuple[relay.Outcome, FakeSink]:
        sink = FakeSink()
        now = self.clock.now()
        fields = {
            'identity': 'r1',
            'method': 'POST',
            'path': f'/{route}/x?q=1',
            'headers': (),
            'body': b'body',
            'arrived_at': now,
            'caller_deadline': now + 2,
            'resume_after': None,
            'prompt': None,
            **changes,
        }
        arrival = relay.Arrival(**fields)
        return await self.relay.serve('example', key, arrival, sink), sink

    def _catalogue(self, engines: bool) -> relay.Catalogue:
        profile = relay.EngineProfile(64, 500000, 4, 5) if engines else None
        return relay.Catalogue(
            version=1,
            routes=ROUTES,
            services_by_name={
                'service': relay.Service('service', 10, profile, None)
            },
            teams_by_key={'key': relay.Team('team', None)},
            has_teams=True,
            limits=relay.Limits(1, 1, 1, 1),
        )

    def _make_relay(self, engines: bool) -> relay.Relay:
        now = self.clock.now
        fleet = relay.Fleet(2, 2)
        stage = relay.Stage.DECODE if engines else None
        fleet.replace(
            [
                relay.Target(
                    identity=f't{number}',
                    born_ms=1,
                    service='service',
                    address=f'10.0.0.{number}:1',
                    zone='a',
                    slots=6,
                    leaving=False,
                    reclaimable=False,
                    stage=stage,
                    weights_version=None,
                )
                for number in range(3)
            ],
            now(),
        )
        loads = relay.LoadBook(1)
        source = random.Random(1)
        log = relay.DecisionLog(relay.LogSettings(), self.lines.append, now)
        self.fleet = fleet
        self.placing = relay.Placing(
            'a',
            fleet,
            loads,
            relay.PlacingSettings(),
            now,
            source,
        )
        context = relay.RunContext(
            self.targets,
            self.placing,
            loads,
            relay.RetryShares(RetryShareSettings(0.2, 56, 10), lambda: 1),
            self.suspects,
            relay.Outbox(),
            self.usage,
            log,
            relay.Telemetry(),
            now,
        )
        self.loads = loads
        settings = relay.RelaySettings(relay.RunSettings())
        return relay.Relay(settings, self.view, context, source)


async def test_whole_answer_is_passed_on() -> None:
    world = World(answer(b'an', b'swer'))

    outcome, sink = await world.serve('unsafe')

    assert outcome == relay.Delivered(200)
    assert sink.data == b'answer'
    assert sink.finished
    assert world.loads.open_count == 0


async def test_failure_of_the_target_is_passed_on_unchanged() -> None:
    failure = relay.AnswerHead(500, (('Response-Signature', 's'),), signed=True)
    world = World(answer(b'no', head=failure))

    outcome, sink = await world.serve('unsafe')

    assert outcome == relay.Delivered(500)
    assert sink.head == failure


async def test_safe_request_is_tried_again_after_a_failure() -> None:
    failure = relay.AnswerHead(500, (), signed=True)
    world = World(answer(b'no', head=failure), answer(b'yes'))

    outcome, sink = await world.serve('safe')

    assert outcome == relay.Delivered(200)
    assert sink.data == b'yes'
    first, second = world.targets.calls
    assert first.target != second.target


async def test_last_failure_is_passed_on_once_attempts_are_used_up() -> None:
    failure = relay.AnswerHead(500, (), signed=True)
    world = World(*itertools.repeat(answer(b'no', head=failure), 2))

    outcome, _ = await world.serve('safe')

    assert outcome == relay.Delivered(500)


@pytest.mark.parametrize('route', ['unsafe', 'stream'])
async def test_request_that_may_have_run_is_not_sent_again(route: str) -> None:
    world = World(failing(relay.AnswerLostError('reset', broken=True)))

    outcome, _ = await world.serve(route)

    assert isinstance(outcome, relay.Failed)
    assert len(world.targets.calls) == 1


@pytest.mark.parametrize(
    'error', [relay.NotSentError('x'), relay.NotRunError('x')]
)
async def test_request_that_did_not_run_goes_to_another_target(
    error: Exception,
) -> None:
    world = World(failing(error), answer(b'yes'))

    outcome, _ = await world.serve('unsafe')

    assert outcome == relay.Delivered(200)


async def test_refusals_of_all_targets_end_as_not_run() -> None:
    full = failing(relay.NotRunError('full'))
    world = World(full, full, full)

    outcome, _ = await world.serve('unsafe')

    assert isinstance(outcome, relay.Refused)


async def test_refusal_after_a_lost_answer_does_not_say_not_run() -> None:
    lost = failing(relay.AnswerLostError('reset', broken=True))
    world = World(
        lost, *itertools.repeat(failing(relay.NotRunError('full')), 2)
    )

    outcome, _ = await world.serve('safe')

    assert isinstance(outcome, relay.Failed)


async def test_silent_target_is_answered_for_at_the_timeout() -> None:
    world = World(silent)
    began = world.clock.now()

    outcome, _ = await world.serve('unsafe')

    assert outcome == relay.TimedOut()
    assert world.clock.now() - began < 1


async def test_success_without_signature_is_no_answer() -> None:
    unsigned = relay.AnswerHead(200, (), signed=False)
    world = World(answer(b'?', head=unsigned))

    outcome, sink = await world.serve('unsafe')

    assert isinstance(outcome, relay.Failed)
    assert sink.head is None


async def test_cut_answer_is_not_passed_on() -> None:
    world = World(cut(b'half'))

    outcome, sink = await world.serve('unsafe')

    assert isinstance(outcome, relay.Failed)
    assert not sink.finished


async def test_cut_stream_goes_on_at_another_target() -> None:
    world = World(
        cut(EVENTS[0], EVENTS[1][:5]),
        answer(*EVENTS[1:]),
        engines=True,
    )
    prompt = relay.Prompt(10, 3, (relay.PromptPart('p', 10),))

    outcome, sink = await world.serve('resumable', prompt=prompt)

    assert outcome == relay.Delivered(200)
    assert sink.data == b''.join(EVENTS)
    assert world.targets.calls[1].resume_after == '1'


async def test_cut_stream_that_may_not_be_resumed_ends_cut() -> None:
    world = World(cut(EVENTS[0]))

    outcome, sink = await world.serve('stream')

    assert isinstance(outcome, relay.CutOff)
    assert not sink.finished


async def test_caller_that_leaves_stops_the_work() -> None:
    world = World(silent)
    serving = asyncio.create_task(world.serve('unsafe'))
    await asyncio.sleep(0.05)
    serving.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await serving

    assert world.loads.open_count == 0
    last = json.loads(world.lines[-1])
    assert (last['event'], last['outcome']) == ('ended', 'CallerLeft')
    assert last['request'] == 'r1'


async def test_request_that_crashed_two_targets_is_held_back() -> None:
    world = World(
        *itertools.repeat(failing(relay.AnswerLostError('x', broken=True)), 20)
    )
    world.targets.reachable = False

    outcomes = [(await world.serve('unsafe'))[0] for _ in range(20)]

    assert isinstance(outcomes[-1], relay.Refused)
    crashed = {call.target.key for call in world.targets.calls}
    assert len(crashed) == 2


async def test_lost_answer_of_a_live_target_makes_no_suspect() -> None:
    lost = failing(relay.AnswerLostError('x', broken=True))
    world = World(lost, lost, answer(b'yes'))

    await world.serve('unsafe')
    await world.serve('unsafe')
    outcome, _ = await world.serve('unsafe')

    assert outcome == relay.Delivered(200)


@pytest.mark.parametrize('key', [None, 'other'])
async def test_unknown_key_is_rejected(key: str | None) -> None:
    outcome, _ = await World().serve('safe', key)

    assert outcome == relay.UnknownKey()


async def test_public_route_needs_no_key() -> None:
    outcome, _ = await World(answer(b'yes')).serve('open', None)

    assert outcome == relay.Delivered(200)


async def test_unknown_route_is_not_found() -> None:
    outcome, _ = await World().serve('other')

    assert outcome == relay.UnknownRoute()


async def test_stale_catalogue_admits_no_key_and_denies_no_route() -> None:
    world = World()
    world.view = relay.CatalogueView(
        relay.FreshnessSettings(5), world.clock.now
    )
    read_at = world.clock.now() - 4.9
    world.view.accept(world._catalogue(engines=False), read_at)
    world.relay = world._make_relay(engines=False)

    keyed, _ = await world.serve('safe')
    unknown, _ = await world.serve('other')

    assert isinstance(keyed, relay.Refused)
    assert isinstance(unknown, relay.Refused)


async def test_requests_that_begin_are_counted_once() -> None:
    failure = relay.AnswerHead(500, (), signed=True)
    world = World(answer(b'no', head=failure), answer(b'yes'))

    await world.serve('safe')

    window = int(time.time() // 5)
    counts = world.usage.recent(window + 1)
    assert list(counts.values()) == [{'team': 1}]


async def test_target_that_began_to_leave_meanwhile_gets_nothing() -> None:
    """A prompt is read for a target that starts to drain before it is sent."""
    world = World(answer(*EVENTS), engines=True)
    prompt = relay.Prompt(10, 3, (relay.PromptPart('p', 10),))
    leaving = world.fleet.targets_by_identity

    async def leave(call: relay.TargetCall) -> relay.CacheHandle:
        chosen = world.targets.chosen
        world.fleet.replace(
            [
                dataclasses.replace(target, leaving=target.key == chosen)
                for target in tuple(leaving.values())
            ],
            world.clock.now(),
        )
        return relay.CacheHandle(call.target, 'kept', 10)

    world.targets.read_prompt = leave
    world.place_apart()

    outcome, _ = await world.serve('resumable', prompt=prompt)

    assert outcome == relay.Delivered(200)
    call = world.targets.calls[0]
    assert call.target.key != world.targets.chosen
    assert call.fetch_from is not None
