"""Every admitted request ends with one true outcome."""

import asyncio
import contextlib
import dataclasses
import random
import time
from collections.abc import AsyncIterator, Callable, Sequence

import pytest
from geranium_policy.prompt_placement import Placement
from geranium_policy.retry_share import RetryShareSettings
from geranium_policy.suspects import SuspectRegister, SuspectSettings
from geranium_relay import (
    AnswerHead,
    AnswerLostError,
    Arrival,
    BootClock,
    CacheHandle,
    Catalogue,
    CatalogueView,
    CutOff,
    DecisionLog,
    Delivered,
    EngineProfile,
    Failed,
    Fleet,
    FreshnessSettings,
    Limits,
    LoadBook,
    LogSettings,
    NotRunError,
    NotSentError,
    Outbox,
    Outcome,
    Placing,
    PlacingSettings,
    Prompt,
    PromptPart,
    Refused,
    Relay,
    RelaySettings,
    RetryShares,
    Route,
    RouteKind,
    RunContext,
    RunSettings,
    Service,
    Share,
    Stage,
    Target,
    TargetCall,
    Team,
    TimedOut,
    TrueTime,
    UnknownKey,
    UnknownRoute,
    UsageCounter,
    UsageSettings,
)

WHOLE = AnswerHead(200, (), signed=True)
EVENTS = (b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n', b'id: 3\ndata: c\n\n')
Script = Callable[[TargetCall], 'FakeAnswer']


class FakeAnswer:
    def __init__(
        self,
        head: AnswerHead,
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
        self.calls: list[TargetCall] = []
        self.dropped: list[CacheHandle] = []
        self.reachable = True
        self.chosen = ''
        self.answers: list[FakeAnswer] = []
        self._scripts = list(scripts)

    async def send(self, call: TargetCall) -> FakeAnswer:
        self.calls.append(call)
        script = self._scripts.pop(0)
        answer = script(call)
        if answer.head.status == 0:
            await asyncio.Event().wait()
        self.answers.append(answer)
        return answer

    async def read_prompt(self, call: TargetCall) -> CacheHandle:
        raise NotSentError('nobody reads here')

    async def is_reachable(self, target: Target) -> bool:
        return self.reachable

    async def drop_prompt(self, handle: CacheHandle) -> None:
        self.dropped.append(handle)


class FakeSink:
    def __init__(self) -> None:
        self.head: AnswerHead | None = None
        self.data = b''
        self.finished = False

    async def start(self, head: AnswerHead, length: int | None) -> None:
        assert self.head is None
        self.head = head

    async def write(self, data: bytes) -> None:
        self.data += data

    async def finish(self) -> None:
        self.finished = True


def answer(*chunks: bytes, head: AnswerHead = WHOLE) -> Script:
    return lambda _call: FakeAnswer(head, chunks)


def cut(*chunks: bytes) -> Script:
    lost = AnswerLostError('cut', broken=True)
    return lambda _call: FakeAnswer(WHOLE, chunks, lost)


def failing(error: Exception) -> Script:
    def script(_call: TargetCall) -> FakeAnswer:
        raise error

    return script


def silent(_call: TargetCall) -> FakeAnswer:
    return FakeAnswer(AnswerHead(0, (), signed=False), ())


def make_route(name: str, kind: RouteKind, **changes: object) -> Route:
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
    return Route(
        name=name,
        host='example',
        prefix=f'/{name}/',
        kind=kind,
        shares=(Share('service', 1),),
        **terms,
    )


ROUTES = (
    make_route('safe', RouteKind.SAFE),
    make_route('unsafe', RouteKind.UNSAFE),
    make_route('stream', RouteKind.STREAM),
    make_route('resumable', RouteKind.STREAM, resumable=True),
    make_route('open', RouteKind.SAFE, public=True),
)


class World:
    """A relay over fake targets."""

    def __init__(self, *scripts: Script, engines: bool = False) -> None:
        self.clock = BootClock()
        self.targets = FakeTargets(*scripts)
        self.suspects = SuspectRegister(SuspectSettings(max_crashes=2))
        self.lines: list[str] = []
        self.usage = UsageCounter(UsageSettings(5, 10), TrueTime(self.clock))
        self.view = CatalogueView(FreshnessSettings(5), self.clock.now)
        self.view.accept(self._catalogue(engines), self.clock.now())
        self.relay = self._relay(engines)

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
    ) -> tuple[Outcome, FakeSink]:
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
        arrival = Arrival(**fields)
        return await self.relay.serve('example', key, arrival, sink), sink

    def _catalogue(self, engines: bool) -> Catalogue:
        profile = EngineProfile(64, 500000, 4, 5) if engines else None
        return Catalogue(
            version=1,
            routes=ROUTES,
            services_by_name={'service': Service('service', 10, profile, None)},
            teams_by_key={'key': Team('team', None)},
            has_teams=True,
            limits=Limits(1, 1, 1, 1),
        )

    def _relay(self, engines: bool) -> Relay:
        now = self.clock.now
        fleet = Fleet(2, 2)
        stage = Stage.DECODE if engines else None
        fleet.replace(
            [
                Target(
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
        loads = LoadBook(1)
        source = random.Random(1)
        log = DecisionLog(LogSettings(), self.lines.append, now)
        self.fleet = fleet
        self.placing = Placing(
            'a',
            fleet,
            loads,
            PlacingSettings(),
            now,
            source,
        )
        context = RunContext(
            self.targets,
            self.placing,
            loads,
            RetryShares(RetryShareSettings(0.2, 56, 10), lambda: 1),
            self.suspects,
            Outbox(),
            self.usage,
            log,
            now,
        )
        self.loads = loads
        settings = RelaySettings(RunSettings())
        return Relay(settings, self.view, context, source)


async def test_whole_answer_is_passed_on() -> None:
    world = World(answer(b'an', b'swer'))

    outcome, sink = await world.serve('unsafe')

    assert outcome == Delivered(200)
    assert sink.data == b'answer'
    assert sink.finished
    assert world.loads.open_count == 0


async def test_failure_of_the_target_is_passed_on_unchanged() -> None:
    failure = AnswerHead(500, (('Response-Signature', 's'),), signed=True)
    world = World(answer(b'no', head=failure))

    outcome, sink = await world.serve('unsafe')

    assert outcome == Delivered(500)
    assert sink.head == failure


async def test_safe_request_is_tried_again_after_a_failure() -> None:
    failure = AnswerHead(500, (), signed=True)
    world = World(answer(b'no', head=failure), answer(b'yes'))

    outcome, sink = await world.serve('safe')

    assert outcome == Delivered(200)
    assert sink.data == b'yes'
    first, second = world.targets.calls
    assert first.target != second.target


async def test_last_failure_is_passed_on_once_attempts_are_used_up() -> None:
    failure = AnswerHead(500, (), signed=True)
    world = World(*[answer(b'no', head=failure)] * 2)

    outcome, _ = await world.serve('safe')

    assert outcome == Delivered(500)


@pytest.mark.parametrize('route', ['unsafe', 'stream'])
async def test_request_that_may_have_run_is_not_sent_again(route: str) -> None:
    world = World(failing(AnswerLostError('reset', broken=True)))

    outcome, _ = await world.serve(route)

    assert isinstance(outcome, Failed)
    assert len(world.targets.calls) == 1


@pytest.mark.parametrize('error', [NotSentError('x'), NotRunError('x')])
async def test_request_that_did_not_run_goes_to_another_target(
    error: Exception,
) -> None:
    world = World(failing(error), answer(b'yes'))

    outcome, _ = await world.serve('unsafe')

    assert outcome == Delivered(200)


async def test_refusals_of_all_targets_end_as_not_run() -> None:
    world = World(*[failing(NotRunError('full'))] * 3)

    outcome, _ = await world.serve('unsafe')

    assert isinstance(outcome, Refused)


async def test_refusal_after_a_lost_answer_does_not_say_not_run() -> None:
    lost = failing(AnswerLostError('reset', broken=True))
    world = World(lost, *[failing(NotRunError('full'))] * 2)

    outcome, _ = await world.serve('safe')

    assert isinstance(outcome, Failed)


async def test_silent_target_is_answered_for_at_the_timeout() -> None:
    world = World(silent)
    began = world.clock.now()

    outcome, _ = await world.serve('unsafe')

    assert outcome == TimedOut()
    assert world.clock.now() - began < 1


async def test_success_without_signature_is_no_answer() -> None:
    unsigned = AnswerHead(200, (), signed=False)
    world = World(answer(b'?', head=unsigned))

    outcome, sink = await world.serve('unsafe')

    assert isinstance(outcome, Failed)
    assert sink.head is None


async def test_cut_answer_is_not_passed_on() -> None:
    world = World(cut(b'half'))

    outcome, sink = await world.serve('unsafe')

    assert isinstance(outcome, Failed)
    assert not sink.finished


async def test_cut_stream_goes_on_at_another_target() -> None:
    world = World(
        cut(EVENTS[0], EVENTS[1][:5]),
        answer(*EVENTS[1:]),
        engines=True,
    )
    prompt = Prompt(10, 3, (PromptPart('p', 10),))

    outcome, sink = await world.serve('resumable', prompt=prompt)

    assert outcome == Delivered(200)
    assert sink.data == b''.join(EVENTS)
    assert world.targets.calls[1].resume_after == '1'


async def test_cut_stream_that_may_not_be_resumed_ends_cut() -> None:
    world = World(cut(EVENTS[0]))

    outcome, sink = await world.serve('stream')

    assert isinstance(outcome, CutOff)
    assert not sink.finished


async def test_caller_that_leaves_stops_the_work() -> None:
    world = World(silent)
    serving = asyncio.create_task(world.serve('unsafe'))
    await asyncio.sleep(0.05)
    serving.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await serving

    assert world.loads.open_count == 0


async def test_request_that_crashed_two_targets_is_held_back() -> None:
    world = World(*[failing(AnswerLostError('x', broken=True))] * 20)
    world.targets.reachable = False

    outcomes = [(await world.serve('unsafe'))[0] for _ in range(20)]

    assert isinstance(outcomes[-1], Refused)
    crashed = {call.target.key for call in world.targets.calls}
    assert len(crashed) == 2


async def test_lost_answer_of_a_live_target_makes_no_suspect() -> None:
    lost = failing(AnswerLostError('x', broken=True))
    world = World(lost, lost, answer(b'yes'))

    await world.serve('unsafe')
    await world.serve('unsafe')
    outcome, _ = await world.serve('unsafe')

    assert outcome == Delivered(200)


@pytest.mark.parametrize('key', [None, 'other'])
async def test_unknown_key_is_rejected(key: str | None) -> None:
    outcome, _ = await World().serve('safe', key)

    assert outcome == UnknownKey()


async def test_public_route_needs_no_key() -> None:
    outcome, _ = await World(answer(b'yes')).serve('open', None)

    assert outcome == Delivered(200)


async def test_unknown_route_is_not_found() -> None:
    outcome, _ = await World().serve('other')

    assert outcome == UnknownRoute()


async def test_stale_catalogue_admits_no_key_and_denies_no_route() -> None:
    world = World()
    world.view = CatalogueView(FreshnessSettings(5), world.clock.now)
    world.view.accept(world._catalogue(engines=False), world.clock.now() - 4.9)
    world.relay = world._relay(engines=False)

    keyed, _ = await world.serve('safe')
    unknown, _ = await world.serve('other')

    assert isinstance(keyed, Refused)
    assert isinstance(unknown, Refused)


async def test_requests_that_begin_are_counted_once() -> None:
    failure = AnswerHead(500, (), signed=True)
    world = World(answer(b'no', head=failure), answer(b'yes'))

    await world.serve('safe')

    window = int(time.time() // 5)
    counts = world.usage.recent(window + 1)
    assert list(counts.values()) == [{'team': 1}]


async def test_target_that_began_to_leave_meanwhile_gets_nothing() -> None:
    """A prompt is read for a target that starts to drain before it is sent."""
    world = World(answer(*EVENTS), engines=True)
    prompt = Prompt(10, 3, (PromptPart('p', 10),))
    leaving = world.fleet.targets_by_identity

    async def leave(call: TargetCall) -> CacheHandle:
        chosen = world.targets.chosen
        world.fleet.replace(
            [
                dataclasses.replace(target, leaving=target.key == chosen)
                for target in tuple(leaving.values())
            ],
            world.clock.now(),
        )
        return CacheHandle(call.target, 'kept', 10)

    world.targets.read_prompt = leave
    world.place_apart()

    outcome, _ = await world.serve('resumable', prompt=prompt)

    assert outcome == Delivered(200)
    assert world.targets.calls[0].target.key != world.targets.chosen
    assert world.targets.calls[0].fetch_from is not None
