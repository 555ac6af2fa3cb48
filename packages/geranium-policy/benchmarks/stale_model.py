"""Callers, hosts and engines of ``even_load``, and what it measures."""

import dataclasses
import functools
import random
import statistics
import time
from collections.abc import Mapping
from types import MappingProxyType

import xxhash
from batching import Timeline
from geranium_policy.engine_rates import EngineRates
from geranium_policy.prompt_placement import Placement, PromptDemand, TooBusy
from stale_calls import EngineCall, Request
from stale_engines import (
    PREFILL_TOKENS_PER_S,
    STEP_PER_SEQUENCE_S,
    STEP_S,
    FleetPlan,
    PromptKind,
    SlotEngine,
)
from stale_hosts import ZONES, ReportAges, Reports, StaleHost
from stale_methods import METHODS

DURATION_S = 22.4
WARM_UP_S = 5.6
ALTERNATE_S = 2.8
RATE_FACTORS = (1.7, 0.55)
PREFIXES = 16  # of each kind
KINDS = ((13300, 3720), (6300, 2890), (350, 1110))
OBJECTIVE_S = 0.6
TIMEOUT_S = 5.0
MIN_RETRY_S = 0.25
MAX_TRIES = 3
SAMPLE_S = 0.01
FULL = 1
HALF = 0.5
# With the default, waits grow without bound at about this share of the capacity,
# also with loads that are 0.07 s old.
USABLE_SHARE = 0.68
FLEETS: Mapping[str, FleetPlan] = MappingProxyType(
    {
        'wind': FleetPlan(32, 96, 970477, (1, 1, 1.3), 70),
        'desk': FleetPlan(64, 192, 444196, (0.6, 1, 1.6), 90),
    }
)
AGES: Mapping[str, ReportAges] = MappingProxyType(
    {
        'fresh': ReportAges(0.07, 0.07),
        'real': ReportAges(0.22, 0.32),
        'old': ReportAges(0.45, 0.525),
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One row of the table."""

    hosts: int
    fleet: str
    load: float
    ages: str
    method: str
    seed: int


@dataclasses.dataclass(slots=True)
class Figures:
    """What a run has measured after ``WARM_UP_S``.

    ``uneven`` counts the samples in which an engine is full while another has
    half of its slots free, ``busiest`` is the load of the busiest engine over
    the mean.
    """

    arrived: int = 0
    refused: int = 0
    samples: int = 0
    uneven: int = 0
    waits: list[float] = dataclasses.field(default_factory=list)
    busiest: list[float] = dataclasses.field(default_factory=list)
    choice_s: list[float] = dataclasses.field(default_factory=list)


class Model:
    """One run of the model."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self._source = random.Random(case.seed)
        self._plan = FLEETS[case.fleet]
        self.timeline = Timeline()
        self.figures = Figures()
        self.engines_by_name = _make_engines(self._plan, self.timeline)
        self._hosts = [
            StaleHost(
                f'h{number}',
                number % ZONES,
                METHODS[case.method](EngineRates(), random.Random(number)),
            )
            for number in range(case.hosts)
        ]
        self._homes_by_prefix: dict[str, frozenset[str]] = {}
        self._ages = AGES[case.ages]
        self._reports = Reports(
            self.timeline,
            self._hosts,
            tuple(self.engines_by_name.values()),
            self._ages,
        )

    def run(self) -> None:
        """Run the whole duration."""
        for kind, _ in enumerate(KINDS):
            self._next_arrival(kind)
        self.timeline.at(
            WARM_UP_S, lambda: self.timeline.every(SAMPLE_S, self._sample)
        )
        self.timeline.every(1, self._prune)
        self.timeline.run(DURATION_S)

    def generate(
        self,
        request: Request,
        host: StaleHost,
        placement: Placement,
        *,
        is_prefilled: bool,
    ) -> None:
        """Send a request to the engine that generates."""
        engine = self.engines_by_name[placement.generator]
        call = EngineCall(
            request, host, placement, engine, self.timeline, is_prefilled
        )
        call.on_begun = self._record_wait
        call.on_dropped = self._refuse
        if not call.submit(self._plan.generated, TIMEOUT_S):
            self._retry(request, 0)

    def _next_arrival(self, kind: int) -> None:
        phase = int(self.timeline.now / ALTERNATE_S) % 2
        rate = capacity_per_s(self._plan) * self._case.load / len(KINDS)
        factor = RATE_FACTORS[1 - phase if kind else phase]
        rate *= factor / statistics.mean(RATE_FACTORS)
        instant = self.timeline.now + self._source.expovariate(rate)
        self.timeline.at(instant, lambda: self._arrive(kind))

    def _arrive(self, kind: int) -> None:
        shared, own = KINDS[kind]
        # A few prefixes have most of the prompts.
        number = int(PREFIXES * self._source.random() ** 2)
        prompt = PromptKind(f'{kind}.{number}', shared, own)
        if self.timeline.now >= WARM_UP_S:
            self.figures.arrived += 1
        self._send(Request(prompt, self.timeline.now))
        self._next_arrival(kind)

    def _send(self, request: Request) -> None:
        host = self._source.choice(self._hosts)
        request.tries += 1
        now = self.timeline.now
        demand = PromptDemand(
            request.kind.tokens,
            1,
            OBJECTIVE_S,
            TIMEOUT_S - (now - request.arrived_at),
        )
        own = self._reports.own_states(
            host, request.kind, self._homes_of(request.kind.prefix)
        )
        peers = self._reports.peers_of(host)
        began = time.perf_counter()
        decision = host.method.choose(demand, own, peers, self._ages.mean_s)
        self.figures.choice_s.append(time.perf_counter() - began)
        match decision:
            case Placement(reader=None):
                self.generate(request, host, decision, is_prefilled=False)
            case Placement():
                self._prefill(request, host, decision)
            case TooBusy(free_in_s=free_in_s):
                self._retry(request, free_in_s)
            case _:
                self._retry(request, 0)

    def _prefill(
        self, request: Request, host: StaleHost, placement: Placement
    ) -> None:
        assert placement.reader is not None
        engine = self.engines_by_name[placement.reader]
        call = EngineCall(
            request, host, placement, engine, self.timeline, False
        )
        call.on_done = lambda: self._continue(request, host, placement)
        call.on_dropped = self._refuse
        if not call.submit(0, TIMEOUT_S):
            self._retry(request, 0)

    def _continue(
        self, request: Request, host: StaleHost, placement: Placement
    ) -> None:
        """Send a prompt that was prefilled to its generator."""
        if host.method.rechecks:
            homes = self._homes_of(request.kind.prefix)
            generator = host.method.choose_generator(
                self._reports.own_states(host, request.kind, homes),
                self._reports.peers_of(host),
                self._ages.mean_s,
            )
            placement = dataclasses.replace(
                placement, generator=generator or placement.generator
            )
        self.generate(request, host, placement, is_prefilled=True)

    def _record_wait(self, request: Request) -> None:
        if request.arrived_at >= WARM_UP_S:
            waited = self.timeline.now - request.arrived_at - request.prefill_s
            self.figures.waits.append(waited)

    def _refuse(self, request: Request) -> None:
        if request.arrived_at >= WARM_UP_S:
            self.figures.refused += 1

    def _retry(self, request: Request, free_in_s: float) -> None:
        if request.tries >= MAX_TRIES:
            self._refuse(request)
            return
        instant = self.timeline.now + max(free_in_s, MIN_RETRY_S)
        self.timeline.at(instant, lambda: self._send(request))

    def _sample(self) -> None:
        shares = [
            engine.running / engine.slots
            for engine in self.engines_by_name.values()
            if not engine.prefill_only
        ]
        most = max(shares)
        mean = max(statistics.mean(shares), 1 / self._plan.slots)
        self.figures.samples += 1
        self.figures.uneven += most >= FULL and min(shares) <= HALF
        self.figures.busiest.append(most / mean)

    def _prune(self) -> None:
        for host in self._hosts:
            host.prune(self.timeline.now - 1)

    def _homes_of(self, prefix: str) -> frozenset[str]:
        """Return the engine of each stage that all hosts prefer."""
        known = self._homes_by_prefix.get(prefix)
        if known is None:
            known = self._find_homes(prefix)
            self._homes_by_prefix[prefix] = known
        return known

    def _find_homes(self, prefix: str) -> frozenset[str]:
        homes = []
        for prefill_only in (False, True):
            names = [
                name
                for name, engine in self.engines_by_name.items()
                if engine.prefill_only is prefill_only
            ]
            homes.append(max(names, key=functools.partial(_score, prefix)))
        return frozenset(homes)


def _make_engines(plan: FleetPlan, timeline: Timeline) -> dict[str, SlotEngine]:
    engines = [
        SlotEngine(
            f'e{number}',
            number % ZONES,
            plan,
            plan.speeds[number // ZONES % len(plan.speeds)],
            number >= plan.generating,
            timeline,
        )
        for number in range(plan.generating + plan.prefill_only)
    ]
    return {engine.name: engine for engine in engines}


def _score(prefix: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{prefix}/{name}'.encode())


def capacity_per_s(plan: FleetPlan) -> float:
    """Return the requests a second that use up the slots or the prefill.

    Every shared prefix is taken to be cached. ``USABLE_SHARE`` stands for the
    prefixes that are not, and for slots that wait for a prefill.
    """
    speed = statistics.mean(plan.speeds)
    own_tokens = statistics.mean(own for _, own in KINDS)
    prefill = plan.prefill_only + plan.generating / 2
    prefill *= PREFILL_TOKENS_PER_S * speed / own_tokens
    step_s = STEP_S + STEP_PER_SEQUENCE_S * plan.slots
    slots = plan.generating * plan.slots * speed
    slots /= plan.generated * step_s + 2 * own_tokens / PREFILL_TOKENS_PER_S
    return USABLE_SHARE * min(prefill, slots)
