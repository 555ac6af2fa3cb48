"""Selection of the next team to serve under each admission policy."""

from collections.abc import Collection, Iterable, Mapping

from .admission_settings import (
    AdmissionPolicy,
    AdmissionSettings,
    FairShares,
    FirstCome,
    PerHostLimits,
)
from .consumption import ConsumptionReport
from .counters import VirtualCounters
from .peer_consumption import ServedByPeer
from .queues import QueueEntry
from .team_queues import TeamQueues


class TeamShares:
    """Orders the teams that have queued requests for a service."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self._policy: AdmissionPolicy = settings.policy
        match settings.policy:
            case FairShares():
                self._across_daemons = settings.policy.across_daemons
                self.counters = VirtualCounters(settings.policy.max_lead)
            case FirstCome() | PerHostLimits():
                self._across_daemons = False
                self.counters = VirtualCounters(max_lead=0)

    def next_team(
        self,
        teams: TeamQueues,
        running_by_team: Mapping[str, float],
    ) -> str | None:
        """Return the team to serve next, or ``None`` if none may be served."""
        waiting: Collection[str] = teams.queues_by_team
        match self._policy:
            case FairShares():
                return self.counters.least(waiting) if waiting else None
            case PerHostLimits(max_running_cost=bound):
                waiting = [
                    team
                    for team in waiting
                    if running_by_team.get(team, 0) < bound
                ]
        return min(
            waiting,
            key=lambda team: teams.first(team).entry.arrived_at,
            default=None,
        )

    def cost_ahead(self, entry: QueueEntry, teams: TeamQueues) -> float:
        """Estimate the cost of requests released before a new entry."""
        match self._policy:
            case FairShares():
                return self._fair_cost_ahead(entry, teams)
            case FirstCome() | PerHostLimits():
                return teams.cost()

    def charge_peer(self, served: ServedByPeer, teams: TeamQueues) -> None:
        """Charge teams for cost that a peer has served.

        Each queued team that the report does not name is charged the mean
        cost of the peer's tail teams.
        """
        if not self._across_daemons:
            return
        for team, cost in served.served_by_team.items():
            self.counters.charge(team, cost)
        if not served.tail_teams:
            return
        tail_cost = served.tail_served / served.tail_teams
        for team in teams.queues_by_team.keys() - served.served_by_team.keys():
            self.counters.charge(team, tail_cost)

    def raise_floor(
        self,
        teams: TeamQueues,
        peers: Iterable[ConsumptionReport],
    ) -> None:
        """Raise the floor to the least counter of teams queued on any daemon.

        Teams queued at peers count only if shares span daemons.
        """
        backlogged = set(teams.queues_by_team)
        if self._across_daemons:
            for report in peers:
                backlogged.update(
                    team
                    for team, consumption in report.large_by_team.items()
                    if consumption.queued
                )
        self.counters.raise_floor(backlogged)

    def _fair_cost_ahead(self, entry: QueueEntry, teams: TeamQueues) -> float:
        # Fluid model: by the time this entry is released, every other team
        # has been served up to the counter that the entry's team then has.
        team = entry.profile.team
        weight_of = self.counters.weight
        ahead = teams.cost_before(entry)
        reached = self.counters.counter(team) + ahead / weight_of(team)
        for other, queue in teams.queues_by_team.items():
            gap = reached - self.counters.counter(other)
            if other != team and gap > 0:
                ahead += min(queue.cost, gap * weight_of(other))
        return ahead
