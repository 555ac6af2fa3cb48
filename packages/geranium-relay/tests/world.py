"""A relay with fake targets and fake callers."""

import asyncio
import dataclasses
import random
import time
from collections.abc import AsyncIterator, Callable, Sequence

import geranium_relay as relay
from geranium_policy.completion_times import (
    CompletionEstimator,
    CompletionSettings,
)
from geranium_policy.crash_causes import CrashCauses, CrashCauseSettings
from geranium_policy.prompt_placement import Placement
from geranium_policy.retry_share import RetryShareSettings
from geranium_policy.suspects import SuspectRegister, SuspectSettings
from geranium_policy.team_quotas import QuotaLimit

from .origins import make_origins

OK_HEAD = relay.ResponseHead(200, (), signed=True)
EVENTS = (b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n', b'id: 3\ndata: c\n\n')
RETRY_BUDGET = RetryShareSettings(0.2, 56, 10)
Script = Callable[[relay.TargetCall], 'FakeAnswer']


class FakeAnswer:
    def __init__(
        self,
        head: relay.ResponseHead,
        chunks: Sequence[bytes],
        error: Exception | None = None,
    ) -> None:
        self.head = head
        self.framed = True
        self.closed = False
        self._chunks = chunks
        self._error = error

    async def chunks(self) -> AsyncIterator[bytes]:
        for chunk in self._chunks:
            yield chunk
        if self._error is not None:
            raise self._error

    async def read(self, max_bytes: int) -> bytes:
        return b''.join([chunk async for chunk in self.chunks()])

    def close(self) -> None:
        self.closed = True


class FakeTargets:
    """Runs the next script for each call and records the calls."""

    def __init__(self, *scripts: Script) -> None:
        self.calls: list[relay.TargetCall] = []
        self.dropped: list[relay.CacheHandle] = []
        self.reachable = True
        self.chosen = ''
        self.prefill_calls: list[relay.TargetCall] = []
        self.prefill_error: Exception | None = None
        self.answers: list[FakeAnswer] = []
        self._scripts = list(scripts)

    def add_scripts(self, *scripts: Script) -> None:
        self._scripts.extend(scripts)

    async def send(self, call: relay.TargetCall) -> FakeAnswer:
        self.calls.append(call)
        script = self._scripts.pop(0)
        answer = script(call)
        if answer.head.status == 0:
            await asyncio.Event().wait()
        self.answers.append(answer)
        return answer

    async def read_prompt(self, call: relay.TargetCall) -> relay.CacheHandle:
        self.prefill_calls.append(call)
        if self.prefill_error is not None:
            raise self.prefill_error
        return relay.CacheHandle(call.target, 'kept', 10)

    async def is_reachable(self, target: relay.Target) -> bool:
        return self.reachable

    async def drop_prompt(self, kept: relay.CacheHandle) -> None:
        self.dropped.append(kept)


class FakeSink:
    def __init__(self) -> None:
        self.head: relay.ResponseHead | None = None
        self.data = b''
        self.finished = False

    async def start(self, head: relay.ResponseHead, length: int | None) -> None:
        assert self.head is None
        self.head = head

    async def write(self, data: bytes) -> None:
        self.data += data

    async def finish(self) -> None:
        self.finished = True


def answer(*chunks: bytes, head: relay.ResponseHead = OK_HEAD) -> Script:
    return lambda _call: FakeAnswer(head, chunks)


def cut(*chunks: bytes) -> Script:
    lost = relay.AnswerLostError('cut', broken=True)
    return lambda _call: FakeAnswer(OK_HEAD, chunks, lost)


def failing(error: Exception) -> Script:
    def script(_call: relay.TargetCall) -> FakeAnswer:
        raise error

    return script


class PacedAnswer(FakeAnswer):
    """Yields its chunks at intervals, and the last one again and again."""

    endless = False

    async def chunks(self) -> AsyncIterator[bytes]:
        async for chunk in super().chunks():
            await asyncio.sleep(0.08)
            yield chunk
        while self.endless:
            await asyncio.sleep(0.01)
            yield b' '


def slow(*chunks: bytes) -> Script:
    """Respond with chunks at intervals."""
    return lambda _call: PacedAnswer(OK_HEAD, chunks)


def trickling(*chunks: bytes) -> Script:
    """Respond with chunks and then with single bytes, without an end."""

    def script(_call: relay.TargetCall) -> FakeAnswer:
        paced = PacedAnswer(OK_HEAD, chunks)
        paced.endless = True
        return paced

    return script


def silent(_call: relay.TargetCall) -> FakeAnswer:
    return FakeAnswer(relay.ResponseHead(0, (), signed=False), ())


def make_route(
    name: str, kind: relay.RouteKind, **changes: object
) -> relay.Route:
    fields_by_name = {
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
        **fields_by_name,
    )


ROUTES = (
    make_route('safe', relay.RouteKind.SAFE),
    make_route('once', relay.RouteKind.SAFE, max_attempts=1),
    make_route('unsafe', relay.RouteKind.UNSAFE),
    make_route('stream', relay.RouteKind.STREAM),
    make_route('resumable', relay.RouteKind.STREAM, resumable=True),
    make_route('open', relay.RouteKind.SAFE, public=True),
)


def make_peers(clock: relay.BootClock) -> relay.Peers:
    """Return the other hosts: there are none."""
    own = relay.PeerIdentity('h1', 'a', 'h1:1', 'h1:2', 1)
    log = relay.DecisionLog(relay.LogSettings(), str, clock.now)
    return relay.Peers(relay.PeerSettings(), own, clock, log)


class World:
    """A relay with fake targets."""

    def __init__(
        self,
        *scripts: Script,
        engines: bool = False,
        targets: int = 3,
        retry_budget: RetryShareSettings = RETRY_BUDGET,
    ) -> None:
        self._target_count = targets
        self._retry_budget = retry_budget
        self._limit_holders = {'h1': True}
        self.clock = relay.BootClock()
        self.targets = FakeTargets(*scripts)
        self.suspects = SuspectRegister(SuspectSettings(max_crashes=2))
        self.lines: list[str] = []
        self.usage = relay.UsageCounter(
            relay.UsageSettings(5, 10), relay.ClusterClock(self.clock)
        )
        self.view = relay.CatalogueView(
            relay.FreshnessSettings(5), self.clock.now
        )
        self.view.accept(self._catalogue(engines), self.clock.now())
        self.relay = self._make_relay(engines)

    @property
    def origins(self) -> relay.StreamOrigins:
        return self._origins

    @property
    def outbox(self) -> relay.Outbox:
        """What is sent to other hosts."""
        return self._context.outbox

    @property
    def shutdown(self) -> relay.Shutdown:
        return self._context.shutdown

    @property
    def completions(self) -> CompletionEstimator:
        """What the host knows of the durations of requests."""
        return self._completions

    @property
    def notices(self) -> relay.TargetNotices:
        return self._notices

    def only_target(self) -> relay.Target:
        """Return the target of a world that has one."""
        return next(iter(self.fleet.targets_by_identity.values()))

    def limit(self, target: relay.Target, per_s: float, holder: str) -> None:
        """Let a target name a limit that one host has alone."""
        self._limit_holders = {holder: True}
        notice = relay.RateLimitNotice(per_s, self.clock.now())
        self.notices.rate_limits.record(target.key, notice)

    def replace_routes(self, shares: tuple[relay.Share, ...]) -> None:
        """Apply a catalogue version whose routes have other shares."""
        known = self._catalogue(engines=False)
        changed = dataclasses.replace(
            known,
            version=known.version + 1,
            routes=tuple(
                dataclasses.replace(route, shares=shares)
                for route in known.routes
            ),
        )
        self.view.accept(changed, self.clock.now())

    def separate_prefill(self) -> None:
        """Let one of the engines do nothing but prefill prompts."""
        first, *others = self.fleet.targets_by_identity.values()
        reader = dataclasses.replace(first, stage=relay.Stage.PREFILL)
        self.fleet.replace([reader, *others], self.clock.now())

    def place_isolated(self) -> None:
        """Make the next prompt be prefilled on a separate engine."""
        reader, target, *_ = self.fleet.targets_by_identity.values()
        self.targets.chosen = target.key
        placement = Placement(reader.key, target.key, 10, 0, 0.01)
        self.selector.select_engines = lambda *_: placement

    def place_once_each(self) -> None:
        """Make the next prompts run on one engine after the other."""
        select_engines = self.selector.select_engines
        keys = [
            target.key for target in self.fleet.targets_by_identity.values()
        ]

        def select(*demand: object) -> Placement:
            if keys:
                return Placement(None, keys.pop(), 10, 0, 0.01)
            return select_engines(*demand)

        self.selector.select_engines = select

    def crashed_targets(self) -> list[str]:
        """Return the targets whose crashes count, for each fingerprint."""
        crashes = self.suspects.active_crashes(self.clock.now())
        return [crash.crash_id for crash in crashes]

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
        arrival = relay.IncomingRequest(**fields)
        return await self.relay.serve('example', key, arrival, sink), sink

    def make_relay(self, run: relay.RunSettings) -> relay.Relay:
        """Return a relay with other limits."""
        settings = relay.RelaySettings(run)
        return relay.Relay(settings, self.view, self._context, random.Random(1))

    def use_quotas(self, quotas: relay.TeamQuotas) -> None:
        """Charge requests to the quotas of their teams."""
        self._context = dataclasses.replace(self._context, quotas=quotas)
        self.relay = self.make_relay(relay.RunSettings())

    def limit_team(self, quota: QuotaLimit | None) -> None:
        """Apply a catalogue version in which the team has a quota."""
        known = self.view.catalogue
        team = relay.Team('team', None, quota)
        changed = dataclasses.replace(
            known, version=known.version + 1, teams_by_key={'key': team}
        )
        self.view.accept(changed, self.clock.now())

    def replace_peers(self, peers: relay.Peers) -> None:
        """Let the host know other hosts."""
        self._context = dataclasses.replace(
            self._context, peer_client=self._peer_client(peers)
        )
        self.relay = self.make_relay(relay.RunSettings())

    def _catalogue(self, engines: bool) -> relay.Catalogue:
        profile = relay.EngineProfile(64, 500000) if engines else None
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

    def _peer_client(self, peers: relay.Peers) -> relay.PeerClient:
        return relay.PeerClient(
            relay.PeerClientSettings(),
            peers,
            self.loads,
            self.clock.now,
            random.Random(1),
            self._log,
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
                for number in range(self._target_count)
            ],
            now(),
        )
        loads = relay.LoadTracker(1)
        source = random.Random(1)
        log = relay.DecisionLog(relay.LogSettings(), self.lines.append, now)
        self.fleet = fleet
        self.loads = loads
        self._log = log
        self._origins = make_origins(fleet, now, time.time)
        self._notices = relay.TargetNotices(
            now,
            log,
            relay.TargetRateLimits(
                'h1',
                lambda _key: self._limit_holders,
                now,
                time.time,
                log,
            ),
        )
        self.selector = relay.TargetSelector(
            relay.SelectorContext('a', int, self._notices),
            fleet,
            loads,
            relay.TargetSelectorSettings(),
            now,
            source,
        )
        self._completions = CompletionEstimator(CompletionSettings())
        context = relay.RunContext(
            self.targets,
            self.selector,
            loads,
            relay.RetryShares(self._retry_budget, lambda: 1),
            CrashCauses(CrashCauseSettings(), self.suspects),
            relay.Outbox(),
            self._origins,
            self.usage,
            log,
            relay.Telemetry(),
            now,
            relay.ServiceReach(
                relay.ReachSettings(), fleet, self.targets, now, source, log
            ),
            self._peer_client(make_peers(self.clock)),
            relay.Shutdown(self._completions, now),
        )
        self._context = context
        return self.make_relay(relay.RunSettings())
