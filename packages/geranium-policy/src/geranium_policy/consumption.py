"""Reports of the cost that a daemon has served and queued for each team."""

import collections
import dataclasses
import heapq
from collections.abc import Iterable, Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class TeamConsumption:
    """A team's consumption on one daemon.

    Args:
        served: Cost served since the daemon started; never decreases.
        backlog: Cost that is queued or running.
        queued: Cost that is queued.
    """

    served: float = 0
    backlog: float = 0
    queued: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ConsumptionReport:
    """A daemon's report to its peers about the teams of a service.

    The report covers only teams with traffic. The largest are listed by
    name; the other ``tail_teams`` teams are summed up in ``tail``. Lost
    reports do no harm, since ``served`` is cumulative.
    """

    daemon: str
    large_by_team: Mapping[str, TeamConsumption]
    tail: TeamConsumption
    tail_teams: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConsumptionSettings:
    """Limits of the exchange of reports.

    Args:
        max_large_teams: Maximum number of teams that a report names.
        max_counted_teams: Maximum number of teams whose ``served`` count is
            kept. A team that was dropped restarts from 0.
        peer_timeout_s: Time for which a peer's last report is used.
        peer_retention_s: Time without a report after which a peer's counts
            are dropped.
    """

    max_large_teams: int = 16
    max_counted_teams: int = 1024
    peer_timeout_s: float = 3
    peer_retention_s: float = 120


class LocalConsumption:
    """Counts the cost served by the local daemon and creates its reports."""

    def __init__(self, daemon: str, settings: ConsumptionSettings) -> None:
        self._daemon = daemon
        self._settings = settings
        self._unreported_by_team: dict[str, float] = {}
        self._served_by_team: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._tail_served: float = 0

    def record(self, team: str, cost: float) -> None:
        """Add cost served to the team; a negative cost is a refund."""
        served = self._unreported_by_team.get(team, 0)
        self._unreported_by_team[team] = served + cost

    def report(
        self,
        queued_by_team: Mapping[str, float],
        running_by_team: Mapping[str, float],
    ) -> ConsumptionReport:
        """Return a report that includes the cost recorded since the last."""
        backlog_by_team = _sums(queued_by_team, running_by_team)
        sizes = _sums(backlog_by_team, self._unreported_by_team)
        large = heapq.nlargest(
            self._settings.max_large_teams,
            sizes,
            key=lambda team: (sizes[team], team),
        )
        tail = sizes.keys() - set(large)
        return ConsumptionReport(
            daemon=self._daemon,
            large_by_team={
                team: TeamConsumption(
                    self._flush_large(team),
                    backlog_by_team.get(team, 0),
                    queued_by_team.get(team, 0),
                )
                for team in large
            },
            tail=TeamConsumption(
                self._flush_tail(tail),
                sum(backlog_by_team.get(team, 0) for team in tail),
                sum(queued_by_team.get(team, 0) for team in tail),
            ),
            tail_teams=len(tail),
        )

    def _flush_large(self, team: str) -> float:
        served = self._served_by_team.get(team, 0) + self._flush(team)
        self._served_by_team[team] = served
        self._served_by_team.move_to_end(team)
        while len(self._served_by_team) > self._settings.max_counted_teams:
            self._served_by_team.popitem(last=False)
        return served

    def _flush_tail(self, teams: Iterable[str]) -> float:
        self._tail_served += sum(self._flush(team) for team in teams)
        return self._tail_served

    def _flush(self, team: str) -> float:
        # A net refund is carried over until later cost exceeds it, so that
        # the reported counts never decrease.
        unreported = self._unreported_by_team.pop(team, 0)
        if unreported < 0:
            self._unreported_by_team[team] = unreported
            return 0
        return unreported


def _sums(*costs: Mapping[str, float]) -> dict[str, float]:
    sums: dict[str, float] = {}
    for cost_by_team in costs:
        for team, cost in cost_by_team.items():
            sums[team] = sums.get(team, 0) + cost
    return sums
