"""Simulates one day with one policy and one seed."""

import functools
import itertools
import random

import geranium_relay as relay
from geranium_policy.crash_causes import RequestFingerprints

from .clusters import SERVICE, Cluster
from .hosts import EmulatedHost, EmulatedRequest, EmulationContext
from .plans import Burst, DayPlan, RequestPlan
from .policies import MakePolicy
from .results import DayResult, Tallies, summarize
from .simulation import Simulation

BURST_KIND = 0  # all prompts of a burst share this kind's prefix
MIN_SIZE_RATIO = 0.5  # sizes are uniform between 0.5 and 1.5 of the average


class Day:
    """The simulation of one day.

    Args:
        plan: The hosts, engines, load and faults.
        make_policy: Creates the policy of each host.
        settings: The settings of the product's own policy.
        seed: The same seed gives the same load for every policy.
    """

    def __init__(
        self,
        plan: DayPlan,
        make_policy: MakePolicy,
        settings: relay.TargetSelectorSettings,
        seed: int,
    ) -> None:
        self._plan = plan
        self._simulation = Simulation()
        self._load_source = random.Random(f'load {seed}')
        self._list_source = random.Random(f'list {seed}')
        self._tallies = Tallies()
        self._numbers = itertools.count()
        self._cluster = Cluster(
            plan,
            self._simulation,
            random.Random(f'troubles {seed}'),
            self._send_target_list,
        )
        context = EmulationContext(
            self._simulation,
            self._cluster,
            self._tallies,
            make_policy,
            settings,
            relay.EngineProfile(plan.engines.slots, plan.engines.kv_tokens),
            plan.hosts.news_age_s,
        )
        self._hosts = [
            EmulatedHost(
                f'host-{number}',
                plan.zones[number % len(plan.zones)],
                context,
                random.Random(f'host {number} {seed}'),
            )
            for number in range(plan.hosts.count)
        ]

    def play(self) -> DayResult:
        """Run the day and return its result."""
        plan = self._plan
        self._cluster.open()
        for number, host in enumerate(self._hosts):
            host.update_targets(self._cluster.targets())
            share = number / len(self._hosts)
            for audience in relay.Audience:
                self._simulation.at(
                    plan.hosts.news_every_s(audience) * share,
                    functools.partial(
                        host.broadcast,
                        audience,
                        self._hosts,
                        plan.hosts,
                    ),
                )
        for requests in plan.requests:
            self._schedule_load(requests)
        for trouble in plan.troubles:
            if not isinstance(trouble, Burst):
                self._simulation.at(
                    trouble.at_s,
                    functools.partial(self._cluster.apply, trouble),
                )
        deadlines = [kind.deadline_s for kind in plan.requests]
        self._simulation.run(plan.seconds + max(deadlines))
        return summarize(
            self._tallies,
            self._cluster.fresh_tokens,
            self._cluster.engine_seconds,
        )

    def _schedule_load(self, requests: RequestPlan) -> None:
        self._schedule_requests(requests, 0, self._plan.seconds, requests.per_s)
        for trouble in self._plan.troubles:
            if isinstance(trouble, Burst) and trouble.requests == requests.name:
                self._schedule_requests(
                    requests,
                    trouble.at_s,
                    trouble.at_s + trouble.for_s,
                    requests.per_s * (trouble.factor - 1),
                    kind=BURST_KIND,
                )

    def _schedule_requests(
        self,
        requests: RequestPlan,
        since: float,
        until: float,
        per_s: float,
        kind: int | None = None,
    ) -> None:
        source = self._load_source
        at = since
        while per_s > 0:
            at += source.expovariate(per_s)
            if at >= until:
                return
            drawn = source.randrange(requests.kinds) if kind is None else kind
            request = self._make_request(requests, at, drawn)
            host = source.choice(self._hosts)
            self._simulation.at(
                at, functools.partial(host.handle_request, request)
            )

    def _make_request(
        self, requests: RequestPlan, at: float, kind: int
    ) -> EmulatedRequest:
        number = next(self._numbers)
        scale = self._load_source.uniform(MIN_SIZE_RATIO, 2 - MIN_SIZE_RATIO)
        own_tokens = max(round(requests.own_tokens * scale), 1)
        parts = (
            relay.PromptPart(f'{requests.name} {kind}', requests.shared_tokens),
            relay.PromptPart(f'own {number}', own_tokens),
        )
        arrival = relay.IncomingRequest(
            identity=f'r{number}',
            method='POST',
            path='/',
            headers=(),
            body=b'',
            arrived_at=at,
            caller_deadline=at + requests.deadline_s,
            resume_after=None,
            prompt=relay.Prompt(
                requests.shared_tokens + own_tokens,
                requests.generated,
                parts,
            ),
        )
        route = _route(requests)
        deadline = at + requests.deadline_s
        job = relay.Job(
            arrival,
            route,
            SERVICE,
            None,
            deadline,
            RequestFingerprints(0),
        )
        return EmulatedRequest(requests, job, at)

    def _send_target_list(self) -> None:
        targets = self._cluster.targets()
        for host in self._hosts:
            self._simulation.after(
                self._list_source.uniform(0, self._plan.hosts.list_delay_s),
                functools.partial(host.update_targets, targets),
            )


def _route(requests: RequestPlan) -> relay.Route:
    return relay.Route(
        name=requests.name,
        host='emulated',
        prefix='/',
        kind=relay.RouteKind.STREAM,
        resumable=False,
        timeout_s=requests.deadline_s,
        target_latency_s=requests.target_s,
        target_gap_s=1,
        priority=requests.rank,
        max_attempts=1,
        public=True,
        shares=(),
    )
