"""Admission control: queueing, release order and refusal of requests."""

import dataclasses
import http
import random
from collections.abc import Callable, Mapping

from geranium_model import NotRun

from .admission_settings import AdmissionSettings, FairShares
from .consumption import ConsumptionReport, LocalConsumption
from .limits import EngineLimit
from .peer_consumption import PeerConsumption
from .queues import QueueEntry
from .rates import DecayingMean, DecayingRate
from .shares import TeamShares
from .team_queues import TeamQueues
from .windows import daemon_window

MIN_RETRY_AFTER_S = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refused queue entry and the outcome for its caller."""

    entry: QueueEntry
    outcome: NotRun


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """The current capacity of a service and the teams' weights.

    Args:
        engines: Number of engines that serve it.
        daemons: Number of daemons that send to them, including this one.
        weight_by_team: The teams' weights. A missing team has weight 1.
    """

    engines: int
    daemons: int = 1
    weight_by_team: Mapping[str, float] = dataclasses.field(
        default_factory=dict,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    team: str
    cost: float


class ServiceQueue:
    """The requests of one service that are queued or running on this daemon.

    The daemon calls :meth:`offer` for each request, :meth:`release` whenever
    it can send one, and :meth:`complete` when one ends. It calls
    :meth:`rebalance` several times a second, sends the returned report to its
    peers, and passes the peers' reports to :meth:`apply`.
    """

    def __init__(self, settings: AdmissionSettings, now: float) -> None:
        self._settings = settings
        self._limit = EngineLimit(settings.limit)
        self._first_token = DecayingMean(settings.first_token)
        self._random = random.Random(settings.seed)
        self._teams = TeamQueues(settings.prices, settings.bounds)
        self._rate = DecayingRate(settings.rate, now)
        self._local = LocalConsumption(settings.daemon, settings.exchange)
        self._peers = PeerConsumption(settings.exchange)
        self._shares = TeamShares(settings)
        self._running_by_id: dict[str, _Running] = {}
        self._running_by_team: dict[str, float] = {}
        self._window = self._limit.cost

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._teams)

    def offer(self, entry: QueueEntry, now: float) -> tuple[Refusal, ...]:
        """Queue a request or refuse it.

        Returns:
            The refused entry: the new one if it can't be served in time or
            the queue is full, or one of the largest team that is dropped in
            favour of the new one. Empty if nothing was refused.
        """
        bounds = self._settings.bounds
        left_s = entry.first_token_deadline - now
        # Without this bound, late first tokens would cause every request to
        # be refused even with an empty queue, and the mean would never be
        # updated again.
        first_token_s = min(
            self._first_token.mean,
            bounds.max_service_share * left_s,
        )
        late_s = self.wait_s(entry, now) + first_token_s - left_s
        if bounds.refuse_early and late_s > 0:
            return (self._refuse(entry, late_s, 'no answer in time'),)
        displaced = self._teams.push(entry)
        return tuple(
            self._refuse(dropped, self.wait_s(dropped, now), 'queue is full')
            for dropped in displaced
        )

    def wait_s(self, entry: QueueEntry, now: float) -> float:
        """Estimate the queueing delay of a new entry in seconds."""
        ahead = self._shares.cost_ahead(entry, self._teams)
        rate = self._rate.per_second(now)
        return ahead / rate if ahead and rate else 0

    def release(self, now: float) -> QueueEntry | None:
        """Remove and return the request to send next.

        Returns:
            ``None`` if the queue is empty or this daemon's share of the
            service's capacity is in use.
        """
        team = self._shares.next_team(self._teams, self._running_by_team)
        if team is None:
            return None
        first = self._teams.first(team)
        running = sum(self._running_by_team.values())
        if running and running + first.cost > self._window:
            return None
        self._teams.pop_first(team)
        profile = first.entry.profile
        self._running_by_id[profile.request_id] = _Running(team, first.cost)
        self._add_running(team, first.cost)
        self._rate.record(first.cost, now)
        self._charge(team, first.cost)
        return first.entry

    def complete(
        self,
        request_id: str,
        prompt_tokens: int,
        generated_tokens: int,
    ) -> None:
        """Record the end of a released request and its actual token counts."""
        running = self._running_by_id.pop(request_id, None)
        if running is None:
            return
        self._add_running(running.team, -running.cost)
        cost = self._settings.prices.cost(prompt_tokens, generated_tokens)
        self._charge(running.team, cost - running.cost)

    def record_first_token(self, first_token_s: float) -> None:
        """Record the time from a request's admission to its first token."""
        self._first_token.record(first_token_s)
        self._limit.observe(first_token_s, binding=bool(self._teams))

    def expire(self, now: float) -> tuple[Refusal, ...]:
        """Refuse queued entries whose first-token deadline has passed."""
        expired = self._teams.remove(
            lambda entry: entry.first_token_deadline < now,
        )
        return tuple(
            self._refuse(entry, 0, 'waited too long') for entry in expired
        )

    def withdraw(
        self,
        predicate: Callable[[QueueEntry], bool],
    ) -> tuple[QueueEntry, ...]:
        """Remove and return entries, such as those of a withdrawn key."""
        return self._teams.remove(predicate)

    def rebalance(self, fleet: Fleet, now: float) -> ConsumptionReport:
        """Recompute this daemon's share of the capacity.

        Daemons that have not reported are assumed to use an equal share.

        Returns:
            The report to send to the peers.
        """
        self._shares.counters.weight_by_team = fleet.weight_by_team
        report = self._local.report(
            self._teams.cost_by_team(),
            self._running_by_team,
        )
        peers = tuple(self._peers.reports(now))
        reporting = len(peers) + 1
        known_share = reporting / max(fleet.daemons, reporting)
        capacity = self._limit.cost * fleet.engines * known_share
        match self._settings.policy:
            case FairShares(across_daemons=True):
                self._window = daemon_window(
                    report,
                    peers,
                    fleet.weight_by_team,
                    capacity,
                )
            case _:
                self._window = capacity / reporting
        self._shares.raise_floor(self._teams, peers)
        return report

    def apply(self, report: ConsumptionReport, now: float) -> None:
        """Apply a peer's report."""
        served = self._peers.apply(report, now)
        self._shares.charge_peer(served, self._teams)

    def _charge(self, team: str, cost: float) -> None:
        self._shares.counters.charge(team, cost)
        self._local.record(team, cost)

    def _add_running(self, team: str, cost: float) -> None:
        running = self._running_by_team.get(team, 0) + cost
        self._running_by_team[team] = running
        if running <= 0:
            self._running_by_team.pop(team)

    def _refuse(self, entry: QueueEntry, late_s: float, why: str) -> Refusal:
        jitter = self._settings.bounds.retry_jitter * self._random.random()
        retry_after_s = max(late_s, MIN_RETRY_AFTER_S) * (1 + jitter)
        outcome = NotRun(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            'overloaded',
            why,
            retry_after_s,
        )
        return Refusal(entry, outcome)
