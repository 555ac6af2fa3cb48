"""Hosts that choose engines by load reports of a given age.

Loads of other hosts are refreshed at the times of the reports of the zone's
two aggregators. They are as old then as the plan says: less for the hosts of
the zone than for others. A host knows its own requests at once, and prompts
that others have sent when the loads that contain them.
"""

import collections
import dataclasses
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from batching import Timeline
from geranium_policy.engine_rates import (
    CorrectionSettings,
    EngineRates,
    LatencyCorrections,
)
from geranium_policy.prompt_placement import (
    EngineState,
    PlacementDecision,
    PromptDemand,
)
from stale_engines import PromptKind, SlotEngine

MIN_UNREAD_SHARE = 0.6  # as the relay counts dispatches
SNAPSHOT_S = 0.025
SNAPSHOTS = 60
ZONES = 3
REPORT_S = 0.125  # two aggregators, each 0.25 s


@dataclasses.dataclass(frozen=True, slots=True)
class ReportAges:
    """Ages of reported loads on average, in seconds."""

    near_s: float
    far_s: float

    @property
    def mean_s(self) -> float:
        """The mean over the hosts of three zones."""
        return (self.near_s + 2 * self.far_s) / 3


@dataclasses.dataclass(slots=True, eq=False)
class Sent:
    """A request that a host has at an engine, until ``closed_at``."""

    engine: str
    tokens: int
    sent_at: float
    expected_s: float
    started_at: float = float('inf')
    closed_at: float = float('inf')

    def queued_tokens(self, now: float) -> float:
        """Return the tokens not yet prefilled, as the relay estimates them."""
        if self.started_at <= now:
            return 0
        passed = (now - self.sent_at) / max(self.expected_s, 0.001)
        return self.tokens * max(1 - passed, MIN_UNREAD_SHARE)


class LoadSums:
    """Requests and queued tokens by engine."""

    def __init__(self) -> None:
        self.running: collections.Counter[str] = collections.Counter()
        self.tokens: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )

    def add(self, sent: Sent, now: float, sign: int = 1) -> None:
        """Add a request that was open at a time, or subtract it."""
        if sent.sent_at <= now < sent.closed_at:
            self.running[sent.engine] += sign
            self.tokens[sent.engine] += sign * sent.queued_tokens(now)

    def add_all(self, other: 'LoadSums') -> None:
        """Add the loads of other hosts."""
        for engine, running in other.running.items():
            self.running[engine] += running
        for name, tokens in other.tokens.items():
            self.tokens[name] += tokens


class Method(Protocol):
    """Chooses engines for the requests of one host.

    ``rechecks`` is set if the generator is chosen again after a prefill on
    another engine.
    """

    rechecks: bool

    def choose(
        self,
        demand: PromptDemand,
        own: Sequence[EngineState],
        peers: LoadSums,
        age_s: float,
    ) -> PlacementDecision:
        """Return the decision.

        Args:
            demand: The request.
            own: The engines with the loads of this host alone.
            peers: The reported loads of the others.
            age_s: Their mean age.
        """
        ...

    def choose_generator(
        self,
        own: Sequence[EngineState],
        peers: LoadSums,
        age_s: float,
    ) -> str | None:
        """Return the engine that generates from a prefilled prompt."""
        ...


class StaleHost:
    """A host; ``sent`` are the requests that it sent lately."""

    def __init__(
        self,
        name: str,
        zone: int,
        method: Method,
    ) -> None:
        self.name = name
        self.zone = zone
        self.method = method
        self.sent: collections.deque[Sent] = collections.deque()
        self.corrections = LatencyCorrections(CorrectionSettings())

    def prune(self, oldest: float) -> None:
        """Forget requests that ended before a time."""
        known = [sent for sent in self.sent if sent.closed_at > oldest]
        self.sent = collections.deque(known)


class Reports:
    """What hosts know of the loads of all engines.

    Args:
        timeline: Runs the snapshots.
        hosts: All hosts.
        engines: All engines.
        ages: Ages of the reported loads.
    """

    def __init__(
        self,
        timeline: Timeline,
        hosts: Sequence[StaleHost],
        engines: Sequence[SlotEngine],
        ages: ReportAges,
    ) -> None:
        self._timeline = timeline
        self._hosts = hosts
        self._engines = engines
        self._ages = ages
        self._snapshots: collections.deque[_Snapshot] = collections.deque(
            maxlen=SNAPSHOTS
        )
        timeline.every(SNAPSHOT_S, self._take_snapshot)

    def snapshot(self, zone: int, *, far: bool) -> '_Snapshot':
        """Return the loads that a zone knows now."""
        age_s = self._ages.far_s if far else self._ages.near_s
        phase = REPORT_S * zone / ZONES
        since_report_s = (self._timeline.now - phase) % REPORT_S
        wanted = self._timeline.now - since_report_s + REPORT_S / 2 - age_s
        for snapshot in reversed(self._snapshots):
            if snapshot.at <= wanted:
                return snapshot
        return self._snapshots[0]

    def peers_of(self, host: StaleHost) -> LoadSums:
        """Return the loads of all other hosts, as this host knows them."""
        total = LoadSums()
        near = self.snapshot(host.zone, far=False)
        far = self.snapshot(host.zone, far=True)
        for zone in range(ZONES):
            known = near if zone == host.zone else far
            total.add_all(known.sums[zone])
        for sent in host.sent:
            total.add(sent, near.at, -1)
        return total

    def own_states(
        self,
        host: StaleHost,
        kind: PromptKind,
        homes: frozenset[str],
    ) -> list[EngineState]:
        """Return the engines with the loads of a host alone."""
        now = self._timeline.now
        own = LoadSums()
        for sent in host.sent:
            own.add(sent, now)
        known = self.snapshot(host.zone, far=True).at
        return [
            EngineState(
                name=engine.name,
                same_zone=engine.zone == host.zone,
                prefill_only=engine.prefill_only,
                slots=engine.slots,
                running=own.running[engine.name],
                queued_tokens=own.tokens[engine.name],
                cached_tokens=engine.cached_tokens(kind, host.name, known),
                is_home=engine.name in homes,
                correction=host.corrections.factor(engine.name, now),
            )
            for engine in self._engines
        ]

    def _take_snapshot(self) -> None:
        now = self._timeline.now
        sums = tuple(LoadSums() for _ in range(ZONES))
        for host in self._hosts:
            for sent in host.sent:
                sums[host.zone].add(sent, now)
        self._snapshots.append(_Snapshot(now, sums))


@dataclasses.dataclass(frozen=True, slots=True)
class _Snapshot:
    """The loads of the hosts of each zone at a time."""

    at: float
    sums: tuple[LoadSums, ...]


MakeMethod = Callable[[EngineRates, random.Random], Method]
