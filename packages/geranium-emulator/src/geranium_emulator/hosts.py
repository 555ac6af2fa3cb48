"""Hosts that place requests by knowledge of a certain age."""

import dataclasses
import functools
import random
from collections.abc import Callable, Sequence
from typing import TypeAlias

import geranium_relay as relay
from geranium_policy.prompt_placement import NoEngine, Placement, TooBusy

from .clusters import Cluster
from .engines import Work
from .plans import HostPlan, RequestPlan
from .policies import HostView, MakePolicy, Policy
from .results import Tallies
from .simulation import Simulation

SentParts: TypeAlias = tuple[str, tuple[relay.PromptPart, ...]]

MOST_SENDS = 3  # engines that a request is offered to, as in the product
PEER_NEWS_S = 1.2  # a peer's load is left out after so long without news
HANDOFF_S = 0.03  # from a read prompt to the first token elsewhere
REFUSED_S = 0.002  # until an engine's refusal is back
RETURN_S = 0.25  # callers come back after so long at the earliest
MOST_TRIES = 3  # of a caller with one request


@dataclasses.dataclass(slots=True)
class Ask:
    """A caller's request and how far it has come."""

    plan: RequestPlan
    job: relay.Job
    came_at: float
    tries: int = 1
    sends: int = 0
    is_over: bool = False
    began_at: float | None = None
    avoid: frozenset[str] = frozenset()

    @property
    def prompt(self) -> relay.Prompt:
        """Its prompt, which every emulated request has."""
        prompt = self.job.arrival.prompt
        assert prompt is not None
        return prompt


@dataclasses.dataclass(frozen=True, slots=True)
class World:
    """What all hosts of a day share."""

    simulation: Simulation
    cluster: Cluster
    tallies: Tallies
    make_policy: MakePolicy
    settings: relay.TargetSelectorSettings
    profile: relay.EngineProfile
    news_age_s: float


class EmulatedHost:
    """One host: the product's decisions over emulated engines."""

    def __init__(
        self,
        name: str,
        zone: str,
        world: World,
        source: random.Random,
    ) -> None:
        self.name = name
        self.zone = zone
        self.world = world
        self.simulation = world.simulation
        self.loads = relay.LoadTracker(PEER_NEWS_S)
        self._fleet = relay.Fleet(0, float('inf'))
        self.placing = relay.TargetSelector(
            relay.SelectorContext(zone, lambda: world.news_age_s),
            self._fleet,
            self.loads,
            world.settings,
            world.simulation.now,
            source,
        )
        self._sent_by_audience: dict[relay.Audience, list[SentParts]] = {
            audience: [] for audience in relay.Audience
        }
        self._policy: Policy = world.make_policy(
            HostView(
                self._fleet,
                self.loads,
                self.placing,
                world.profile,
                world.simulation.now,
                source,
            ),
        )

    def hear_list(self, targets: Sequence[relay.Target]) -> None:
        """Take in the list of targets."""
        change = self._fleet.replace(targets, self.simulation.now())
        for gone in change.gone:
            self.placing.remove_target(gone.key)

    def tell(
        self,
        audience: relay.Audience,
        peers: Sequence['EmulatedHost'],
        plan: HostPlan,
    ) -> None:
        """Tell an audience this host's load, again and again."""
        sent = tuple(self._sent_by_audience[audience])
        self._sent_by_audience[audience].clear()
        loads = self.loads.local_loads(self.simulation.now())
        is_near = audience is relay.Audience.NEAR
        for peer in peers:
            if peer is not self and (peer.zone == self.zone) is is_near:
                self.simulation.after(
                    plan.news_delay_s,
                    functools.partial(peer.hear, self.name, loads, sent),
                )
        self.simulation.after(
            plan.news_every_s(audience),
            lambda: self.tell(audience, peers, plan),
        )

    def hear(
        self,
        sender: str,
        loads: dict[str, relay.TargetLoad],
        sent: Sequence[SentParts],
    ) -> None:
        """Take in a peer's news."""
        self.loads.update_peer(sender, loads, self.simulation.now())
        for key, parts in sent:
            self.placing.record_cached_parts(key, parts)

    def learn(self, key: str, dispatch: relay.Dispatch) -> None:
        """Take in how long an engine took."""
        target = self.placing.target(key)
        if target is not None:
            self.placing.observe_latency(target, dispatch)

    def take(self, ask: Ask) -> None:
        """Place a request that has come, or refuse it."""
        if ask.is_over:
            return
        if ask.sends >= MOST_SENDS:
            self.refuse(ask, RETURN_S)
            return
        decision = self._policy.choose(ask.job, ask.avoid)
        match decision:
            case Placement():
                self._send(ask, decision)
            case TooBusy(free_in_s=free_in_s):
                self.refuse(ask, max(free_in_s, RETURN_S))
            case NoEngine():
                self.refuse(ask, RETURN_S)

    def record_prompt(self, ask: Ask, key: str) -> None:
        """Believe that an engine keeps a prompt, and tell peers."""
        prompt = ask.prompt
        self.placing.record_prompt(ask.job.service, key, prompt)
        for sent in self._sent_by_audience.values():
            sent.append((key, prompt.parts[:-1]))

    def offer(
        self,
        ask: Ask,
        work: Work,
        key: str,
        refused: Callable[[], None],
    ) -> None:
        """Bring work to an engine; it is called off at the deadline."""
        engine = self.world.cluster.engines_by_key.get(key)
        if engine is None or not engine.take(work):
            self.simulation.after(REFUSED_S, refused)
            return
        self.simulation.at(
            ask.job.deadline,
            functools.partial(engine.call_off, work),
        )

    def refuse(self, ask: Ask, return_s: float) -> None:
        """Refuse a request; its caller may come back."""
        returns_at = self.simulation.now() + return_s
        if ask.tries >= MOST_TRIES or returns_at >= ask.job.deadline:
            self.end(ask, 'refused')
            return
        ask.tries += 1
        ask.sends = 0
        ask.avoid = frozenset()
        self.simulation.at(returns_at, lambda: self.take(ask))

    def serve(self, ask: Ask) -> None:
        """End a request whose answer is whole."""
        began_at = ask.began_at
        is_late = began_at is None or (
            began_at - ask.came_at > ask.plan.target_s
        )
        self.end(ask, 'late' if is_late else 'in_time')

    def end(self, ask: Ask, field: str) -> None:
        """End a request; later ends of it count for nothing."""
        if ask.is_over:
            return
        ask.is_over = True
        self.world.tallies.count(
            ask.plan.name,
            ask.came_at,
            field,
            ask.plan.worth,
        )

    def _send(self, ask: Ask, placement: Placement) -> None:
        ask.sends += 1
        for key in filter(None, (placement.reader, placement.generator)):
            self.record_prompt(ask, key)
        if placement.reader is None:
            Running(self, ask, placement, is_read=False).start()
        else:
            Reading(self, ask, placement, placement.reader).start()


class Running:
    """A request at the engine that generates its answer."""

    def __init__(
        self,
        host: EmulatedHost,
        ask: Ask,
        placement: Placement,
        *,
        is_read: bool,
    ) -> None:
        self._host = host
        self._ask = ask
        self._is_read = is_read
        self._key = placement.generator
        self._dispatch = relay.Dispatch(
            placement.generator,
            ask.job.rank,
            0 if is_read else placement.fresh_tokens,
            host.simulation.now(),
            placement.first_s,
        )
        self._number = host.loads.open(self._dispatch)

    def start(self) -> None:
        """Bring the request to the engine."""
        ask = self._ask
        work = Work(
            ask.prompt.parts,
            ask.plan.generated,
            self._begin,
            self._finish,
            self._lose,
            is_read=self._is_read,
        )
        self._host.offer(ask, work, self._key, self._turn_away)

    def _begin(self) -> None:
        self._dispatch.started = True
        if not self._is_read:
            self._host.learn(self._key, self._dispatch)
        if self._ask.began_at is None:
            delay_s = HANDOFF_S if self._is_read else 0
            self._ask.began_at = self._host.simulation.now() + delay_s

    def _finish(self) -> None:
        self._host.loads.close(self._number)
        self._host.serve(self._ask)

    def _lose(self) -> None:
        self._host.loads.close(self._number)
        self._host.end(self._ask, 'failed')

    def _turn_away(self) -> None:
        self._host.loads.close(self._number)
        self._ask.avoid |= {self._key}
        self._host.take(self._ask)


class Reading:
    """A prompt at the engine that reads it for another."""

    def __init__(
        self,
        host: EmulatedHost,
        ask: Ask,
        placement: Placement,
        reader: str,
    ) -> None:
        self._host = host
        self._ask = ask
        self._placement = placement
        self._reader = reader
        self._dispatch = relay.Dispatch(
            reader,
            ask.job.rank,
            placement.fresh_tokens,
            host.simulation.now(),
            placement.first_s,
        )
        self._number = host.loads.open(self._dispatch)

    def start(self) -> None:
        """Bring the prompt to the engine."""
        work = Work(
            self._ask.prompt.parts,
            0,
            self._succeed,
            _nothing,
            self._fail,
        )
        self._host.offer(self._ask, work, self._reader, self._fail)

    def _succeed(self) -> None:
        self._host.learn(self._reader, self._dispatch)
        self._go_on(is_read=True)

    def _fail(self) -> None:
        self._go_on(is_read=False)

    def _go_on(self, *, is_read: bool) -> None:
        self._host.loads.close(self._number)
        Running(
            self._host,
            self._ask,
            self._placement,
            is_read=is_read,
        ).start()


def _nothing() -> None:
    """Ends a prompt that was only read."""
