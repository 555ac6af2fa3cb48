"""Consumption: what teams were served and still wait for, by daemon."""

import collections
import dataclasses
import heapq
from collections.abc import Iterable, Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class TeamConsumption:
    """A team at a daemon.

    Args:
        served: Cost served since the daemon started; it only grows.
        backlog: Cost that waits or runs now.
        queued: Cost that waits now.
    """

    served: float = 0
    backlog: float = 0
    queued: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ConsumptionReport:
    """What a daemon tells its peers about a service's teams.

    Only teams with traffic are in it: the largest each by name, the others
    as one sum over ``tail_teams`` of them. Reports may get lost, as
    ``served`` counts from the start.
    """

    daemon: str
    large_by_team: Mapping[str, TeamConsumption]
    tail: TeamConsumption
    tail_teams: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConsumptionSettings:
    """Bounds on the exchange.

    Args:
        max_large_teams: Teams that a report names.
        max_counted_teams: Teams whose ``served`` is kept; one that comes
            back after it was dropped counts from 0 again.
        peer_timeout_s: A peer's last report counts for so long.
        peer_retention_s: A peer that was silent for so long is forgotten.
    """

    max_large_teams: int = 16
    max_counted_teams: int = 1024
    peer_timeout_s: float = 3
    peer_retention_s: float = 120


class OwnConsumption:
    """What this daemon has served, for its reports."""

    def __init__(self, daemon: str, settings: ConsumptionSettings) -> None:
        self._daemon = daemon
        self._settings = settings
        self._unreported_by_team: dict[str, float] = {}
        self._served_by_team: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._tail_served: float = 0

    def record(self, team: str, cost: float) -> None:
        """Count what the team was served; a negative cost takes it back."""
        served = self._unreported_by_team.get(team, 0)
        self._unreported_by_team[team] = served + cost

    def report(
        self,
        queued_by_team: Mapping[str, float],
        running_by_team: Mapping[str, float],
    ) -> ConsumptionReport:
        """Return the report on all since the last one."""
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
        # What was taken back is held until more was served than that, so
        # that the reported counts only grow.
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
