"""Emulated hosts that select engines from delayed state."""

import dataclasses
import functools
import random
from collections.abc import Callable, Sequence
from typing import TypeAlias

import geranium_relay as relay
from geranium_policy.prompt_placement import NoEngine, Placement, TooBusy

from .clusters import Cluster
from .engines import EngineTask
from .plans import HostPlan, RequestPlan
from .policies import HostView, MakePolicy, Policy
from .results import Tallies
from .simulation import Simulation

CachedParts: TypeAlias = tuple[str, tuple[relay.PromptPart, ...]]

MAX_DISPATCHES = 3  # engines tried per attempt, as in the product
MAX_PEER_LOAD_AGE_S = 1.2  # older loads of a peer are ignored
HANDOFF_DELAY_S = 0.03  # from the end of a prefill to the first token
REFUSAL_DELAY_S = 0.002  # round trip of a refused request
MIN_RETRY_DELAY_S = 0.25  # from a refusal to the caller's next attempt
MAX_ATTEMPTS = 3  # of a caller per request


@dataclasses.dataclass(slots=True)
class EmulatedRequest:
    """A caller's request and its progress."""

    plan: RequestPlan
    job: relay.Job
    arrived_at: float
    attempts: int = 1
    dispatches: int = 0
    is_finished: bool = False
    first_token_at: float | None = None
    avoid: frozenset[str] = frozenset()

    @property
    def prompt(self) -> relay.Prompt:
        """The prompt, which every emulated request has."""
        prompt = self.job.arrival.prompt
        assert prompt is not None
        return prompt


@dataclasses.dataclass(frozen=True, slots=True)
class EmulationContext:
    """The objects that all hosts of a day share."""

    simulation: Simulation
    cluster: Cluster
    tallies: Tallies
    make_policy: MakePolicy
    settings: relay.TargetSelectorSettings
    profile: relay.EngineProfile
    news_age_s: float


def _drop_line(line: str) -> None:
    """Drop a log line: emulated targets send no notices."""


class EmulatedHost:
    """A host that applies the product's decisions to emulated engines."""

    def __init__(
        self,
        name: str,
        zone: str,
        context: EmulationContext,
        source: random.Random,
    ) -> None:
        self.name = name
        self.zone = zone
        self.context = context
        self.simulation = context.simulation
        self.loads = relay.LoadTracker(MAX_PEER_LOAD_AGE_S)
        self._fleet = relay.Fleet(0, float('inf'))
        log = relay.DecisionLog(
            relay.LogSettings(), _drop_line, context.simulation.now
        )
        self.selector = relay.TargetSelector(
            relay.SelectorContext(
                zone,
                lambda: context.news_age_s,
                relay.TargetNotices(
                    context.simulation.now,
                    log,
                    relay.TargetRateLimits(
                        name,
                        lambda _key: {},
                        context.simulation.now,
                        context.simulation.now,
                        log,
                    ),
                ),
            ),
            self._fleet,
            self.loads,
            context.settings,
            context.simulation.now,
            source,
        )
        self._cached_parts_by_audience: dict[
            relay.Audience, list[CachedParts]
        ] = {audience: [] for audience in relay.Audience}
        self._policy: Policy = context.make_policy(
            HostView(
                self._fleet,
                self.loads,
                self.selector,
                context.profile,
                context.simulation.now,
                source,
            ),
        )

    def update_targets(self, targets: Sequence[relay.Target]) -> None:
        """Apply a new list of targets."""
        change = self._fleet.replace(targets, self.simulation.now())
        for gone in change.gone:
            self.selector.remove_target(gone.key)

    def broadcast(
        self,
        audience: relay.Audience,
        peers: Sequence['EmulatedHost'],
        plan: HostPlan,
    ) -> None:
        """Send this host's loads to an audience and reschedule itself."""
        sent = tuple(self._cached_parts_by_audience[audience])
        self._cached_parts_by_audience[audience].clear()
        loads = self.loads.local_loads(self.simulation.now())
        is_near = audience is relay.Audience.NEAR
        for peer in peers:
            if peer is not self and (peer.zone == self.zone) is is_near:
                self.simulation.after(
                    plan.news_delay_s,
                    functools.partial(
                        peer.apply_peer_update, self.name, loads, sent
                    ),
                )
        self.simulation.after(
            plan.news_every_s(audience),
            lambda: self.broadcast(audience, peers, plan),
        )

    def apply_peer_update(
        self,
        sender: str,
        loads: dict[str, relay.TargetLoad],
        sent: Sequence[CachedParts],
    ) -> None:
        """Apply a peer's loads and the prompt parts that it dispatched."""
        self.loads.update_peer(sender, loads, self.simulation.now())
        for key, parts in sent:
            self.selector.prefix_caches.add(key, parts)

    def record_latency(self, key: str, dispatch: relay.Dispatch) -> None:
        """Record the latency of a dispatch."""
        target = self.selector.target(key)
        if target is not None:
            self.selector.observe_latency(target, dispatch)

    def handle_request(self, request: EmulatedRequest) -> None:
        """Dispatch a request to an engine, or refuse it."""
        if request.is_finished:
            return
        if request.dispatches >= MAX_DISPATCHES:
            self.refuse(request, MIN_RETRY_DELAY_S)
            return
        decision = self._policy.choose(request.job, request.avoid)
        match decision:
            case Placement():
                self._send(request, decision)
            case TooBusy(free_in_s=free_in_s):
                self.refuse(request, max(free_in_s, MIN_RETRY_DELAY_S))
            case NoEngine():
                self.refuse(request, MIN_RETRY_DELAY_S)

    def record_prompt(self, request: EmulatedRequest, key: str) -> None:
        """Record that an engine caches a prompt, and queue it for peers."""
        prompt = request.prompt
        self.selector.prefix_caches.add(key, prompt.parts)
        for sent in self._cached_parts_by_audience.values():
            sent.append((key, prompt.parts[:-1]))

    def dispatch_to(
        self,
        request: EmulatedRequest,
        task: EngineTask,
        key: str,
        refused: Callable[[], None],
    ) -> None:
        """Submit a task to an engine and cancel it at the deadline."""
        engine = self.context.cluster.engines_by_key.get(key)
        if engine is None or not engine.submit(task):
            self.simulation.after(REFUSAL_DELAY_S, refused)
            return
        self.simulation.at(
            request.job.deadline,
            functools.partial(engine.cancel, task),
        )

    def refuse(self, request: EmulatedRequest, retry_delay_s: float) -> None:
        """Refuse a request; its caller may try again."""
        retry_at = self.simulation.now() + retry_delay_s
        if request.attempts >= MAX_ATTEMPTS or retry_at >= request.job.deadline:
            self.finish(request, 'refused')
            return
        request.attempts += 1
        request.dispatches = 0
        request.avoid = frozenset()
        self.simulation.at(retry_at, lambda: self.handle_request(request))

    def complete(self, request: EmulatedRequest) -> None:
        """Finish a request whose response is complete."""
        first_token_at = request.first_token_at
        is_late = first_token_at is None or (
            first_token_at - request.arrived_at > request.plan.target_s
        )
        self.finish(request, 'late' if is_late else 'in_time')

    def finish(self, request: EmulatedRequest, field: str) -> None:
        """Count the outcome of a request, unless it has finished before."""
        if request.is_finished:
            return
        request.is_finished = True
        self.context.tallies.count(
            request.plan.name,
            request.arrived_at,
            field,
            request.plan.worth,
        )

    def _send(self, request: EmulatedRequest, placement: Placement) -> None:
        request.dispatches += 1
        for key in filter(None, (placement.reader, placement.generator)):
            self.record_prompt(request, key)
        if placement.reader is None:
            GenerationTask(self, request, placement, is_prefilled=False).start()
        else:
            PrefillTask(self, request, placement, placement.reader).start()


class GenerationTask:
    """A request at the engine that generates its response."""

    def __init__(
        self,
        host: EmulatedHost,
        request: EmulatedRequest,
        placement: Placement,
        *,
        is_prefilled: bool,
    ) -> None:
        self._host = host
        self._request = request
        self._is_prefilled = is_prefilled
        self._key = placement.generator
        self._dispatch = relay.Dispatch(
            placement.generator,
            request.job.rank,
            0 if is_prefilled else placement.fresh_tokens,
            host.simulation.now(),
            placement.first_s,
        )
        self._number = host.loads.open(self._dispatch)

    def start(self) -> None:
        """Submit the request to the engine."""
        request = self._request
        task = EngineTask(
            request.prompt.parts,
            request.plan.generated,
            self._on_first_token,
            self._on_finished,
            self._on_lost,
            is_prefilled=self._is_prefilled,
        )
        self._host.dispatch_to(request, task, self._key, self._on_refused)

    def _on_first_token(self) -> None:
        self._dispatch.started = True
        if not self._is_prefilled:
            self._host.record_latency(self._key, self._dispatch)
        if self._request.first_token_at is None:
            delay_s = HANDOFF_DELAY_S if self._is_prefilled else 0
            self._request.first_token_at = self._host.simulation.now() + delay_s

    def _on_finished(self) -> None:
        self._host.loads.close(self._number)
        self._host.complete(self._request)

    def _on_lost(self) -> None:
        self._host.loads.close(self._number)
        self._host.finish(self._request, 'failed')

    def _on_refused(self) -> None:
        self._host.loads.close(self._number)
        self._request.avoid |= {self._key}
        self._host.handle_request(self._request)


class PrefillTask:
    """A prompt at the engine that prefills it for another engine."""

    def __init__(
        self,
        host: EmulatedHost,
        request: EmulatedRequest,
        placement: Placement,
        reader: str,
    ) -> None:
        self._host = host
        self._request = request
        self._placement = placement
        self._reader = reader
        self._dispatch = relay.Dispatch(
            reader,
            request.job.rank,
            placement.fresh_tokens,
            host.simulation.now(),
            placement.first_s,
        )
        self._number = host.loads.open(self._dispatch)

    def start(self) -> None:
        """Submit the prompt to the engine."""
        task = EngineTask(
            self._request.prompt.parts,
            0,
            self._on_prefilled,
            _ignore,
            self._on_failed,
        )
        self._host.dispatch_to(
            self._request, task, self._reader, self._on_failed
        )

    def _on_prefilled(self) -> None:
        self._host.record_latency(self._reader, self._dispatch)
        self._generate(is_prefilled=True)

    def _on_failed(self) -> None:
        self._generate(is_prefilled=False)

    def _generate(self, *, is_prefilled: bool) -> None:
        self._host.loads.close(self._number)
        GenerationTask(
            self._host,
            self._request,
            self._placement,
            is_prefilled=is_prefilled,
        ).start()


def _ignore() -> None:
    """Do nothing at the end of a prefill-only task."""
